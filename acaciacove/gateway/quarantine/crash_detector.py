"""Tells crashes of endpoints from connections that merely broke."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway_metrics import GatewayMetrics
from acaciacove.gateway.http.errors import ConnectFailedError, ConnectRefusedError
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.quarantine.request_fingerprint import format_fingerprint

# Requests of one crash are lost within milliseconds of each other.
GATHER_WINDOW_S = 0.02
# A machine that answers nothing within this is out of reach, which proves no crash.
CHECK_TIMEOUT_S = 0.4
# Of the requests of one crash, those that are named in the log.
MAX_LOGGED_FINGERPRINTS = 16

OnCrash = Callable[[Endpoint, list[int], float], None]


@define(eq=False)
class CrashDetector:
    """Asks an endpoint for a connection after requests at it were lost.

    A process that has ended refuses it, whatever broke the others: a reset on the
    way does not stop the endpoint from listening. ``on_crash`` gets the fingerprints
    of the requests that this gateway lost, in pieces if they end one after the other.
    """

    log: EventLog
    metrics: GatewayMetrics
    on_crash: OnCrash
    _lost: dict[EndpointState, list[int]] = field(factory=dict)
    _checks: set[asyncio.Task[None]] = field(factory=set)

    def record_lost_request(self, state: EndpointState, fingerprint: int) -> None:
        """Note a request whose connection broke while the endpoint may have run it."""
        gathered = self._lost.get(state)
        if gathered is not None:
            gathered.append(fingerprint)
            return
        self._lost[state] = [fingerprint]
        check = asyncio.create_task(self._check(state))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, state: EndpointState) -> None:
        try:
            await asyncio.sleep(GATHER_WINDOW_S)
            if not state.crashed and await self._refuses_connections(state):
                state.crashed = True
                self.metrics.count(Metric.ENDPOINT_CRASHES)
        finally:
            lost = self._lost.pop(state)
        endpoint = state.endpoint.instance
        if not state.crashed:
            self.log.write(Event.REQUESTS_CUT, endpoint=endpoint, lost=len(lost))
            return
        self.log.write(
            Event.ENDPOINT_CRASHED,
            endpoint=endpoint,
            lost=len(lost),
            fingerprints=[
                format_fingerprint(each) for each in lost[:MAX_LOGGED_FINGERPRINTS]
            ],
        )
        now_s = asyncio.get_running_loop().time()
        self.on_crash(state.endpoint, lost, now_s)

    async def _refuses_connections(self, state: EndpointState) -> bool:
        try:
            await state.pool.check_connect(CHECK_TIMEOUT_S)
        except ConnectRefusedError:
            return True
        except ConnectFailedError as error:
            self.log.write(
                Event.CRASH_UNCERTAIN,
                endpoint=state.endpoint.instance,
                detail=str(error),
            )
        return False
