"""State that the tasks of one entry share."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

from attrs import define, field

from acaciacove.daemon.process_lifecycle import ProcessLifecycle
from acaciacove.daemon.shared_state import SharedState
from acaciacove.decisions.budget import Budget
from acaciacove.decisions.hedging import HedgeDelays
from acaciacove.entry.answer_rater import AnswerRater
from acaciacove.entry.entry_metrics import EntryMetrics
from acaciacove.entry.quality_monitor import QualityMonitor
from acaciacove.entry.router import Router
from acaciacove.entry.sidecar_link import SidecarLink
from acaciacove.fleet.instance import Instance
from acaciacove.settings.entry_settings import EntrySettings
from acaciacove.state.billing_outbox import BillingOutbox
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.session_pins import SessionPins

REQUEST_ID_BITS = 128


@define(eq=False)
class EntryState:
    """The components of one entry; each is owned by one task and read by others."""

    settings: EntrySettings
    lifecycle: ProcessLifecycle
    shared: SharedState
    router: Router
    metrics: EntryMetrics
    rng: Random
    retries: Budget
    hedges: Budget
    quality_monitor: QualityMonitor
    rater: AnswerRater
    billing: BillingOutbox
    pins: SessionPins
    open_link: Callable[[Instance], SidecarLink]
    links: dict[tuple[str, int], SidecarLink] = field(factory=dict)
    hedge_delays: HedgeDelays = field(factory=HedgeDelays)
    in_flight: int = 0

    @property
    def fleet_store(self) -> FleetStore:
        """Return the store of the current fleet state."""
        return self.shared.fleet_store

    def pull_if_behind(self, link: SidecarLink, revision: int) -> None:
        """Request the records that a sidecar has and this entry is missing."""
        pull = self.fleet_store.pull_if_behind(revision)
        if pull is not None:
            link.send_if_open(pull)

    def close_links(self) -> None:
        """Close the connections to all sidecars."""
        for link in self.links.values():
            link.close()

    def link_to(self, endpoint: Instance) -> SidecarLink:
        """Return the connection to an endpoint's sidecar."""
        address = (endpoint.host, endpoint.port)
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = self.open_link(endpoint)
        return link

    def new_request_id(self) -> str:
        """Return a request id that is unique across all entries."""
        return f"{self.rng.getrandbits(REQUEST_ID_BITS):032x}"

    @contextmanager
    def counted_in_flight(self) -> Iterator[None]:
        """Count a request while it is being served, so that a drain waits for it."""
        self.in_flight += 1
        self.metrics.set_in_flight(self.in_flight)
        try:
            yield
        finally:
            self.in_flight -= 1
            self.metrics.set_in_flight(self.in_flight)
