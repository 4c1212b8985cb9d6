"""Answers the balancer's probes and the operators' requests for pages."""

from attrs import define, field

from acaciacove.gateway.caller_listener import CallerListener
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.gauges import read_gauges
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.probe_protocol import ProbeAnswer, ProbeProtocol
from acaciacove.gateway.status_page import StatusPage

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
JSON_TYPE = b"application/json"


@define(eq=False)
class OperatorPages:
    """Readiness, metrics and the status of a gateway, by path."""

    gateway: Gateway
    dialect: Dialect
    callers: CallerListener
    status: StatusPage = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the status page."""
        self.status = StatusPage(self.gateway)

    def probe_protocol(self) -> ProbeProtocol:
        """Return the protocol of a connection to the readiness port."""
        return ProbeProtocol(self._answer)

    def operator_protocol(self) -> ProbeProtocol:
        """Return the protocol of a connection to the metrics port.

        Callers and the balancer do not use it, so it has the status as well.
        """
        return ProbeProtocol(self._answer_operator)

    def _answer(self, path: str) -> ProbeAnswer:
        if path == self.dialect.readiness_path:
            return ProbeAnswer(200 if self.is_ready() else 503)
        if path == METRICS_PATH:
            return ProbeAnswer(200, self.metrics_page())
        return ProbeAnswer(404)

    def _answer_operator(self, path: str) -> ProbeAnswer:
        if path == STATUS_PATH:
            return ProbeAnswer(200, self.status.read(), JSON_TYPE)
        return self._answer(path)

    def metrics_page(self) -> bytes:
        """Return counters, histograms and gauges as text."""
        gateway = self.gateway
        return gateway.metrics.render(
            lambda: read_gauges(gateway, len(self.callers.connections))
        )

    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        gateway = self.gateway
        return (
            gateway.view.is_usable
            and not gateway.shutting_down
            and gateway.shedder.takes_connections(len(self.callers.connections))
        )
