"""One entry of the bench: real endpoint choice over lagging reports."""

from collections.abc import Callable, Mapping
from random import Random

from attrs import define, field

from acaciacove.bench.event_queue import EventQueue
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.fake_sidecar import FakeSidecar
from acaciacove.decisions.budget import Budget
from acaciacove.decisions.endpoint_choice import choose_endpoint
from acaciacove.decisions.endpoint_settings import EndpointSettings
from acaciacove.decisions.endpoint_view import EndpointView
from acaciacove.decisions.zone_moves import ZoneMoves
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.messages.load import Load
from acaciacove.refusal import Refusal

MAX_ATTEMPTS = 3
RETRY_BEFORE_SHARE = 0.3
MAX_SESSIONS = 4096
Choose = Callable[["FakeEntry", FakeRequest, set[str]], Instance | None]


@define
class FakeEntry:
    """Chooses, sends, retries what was not run, and learns from reports.

    Reports arrive ``report_lag_s`` after they were made; the answer itself takes
    ``one_way_s``.
    """

    name: str
    events: EventQueue
    rng: Random
    sidecars: Mapping[str, FakeSidecar]
    subset: tuple[Instance, ...]
    choose: Choose
    fleet: FleetState = FleetState()
    zone_moves: ZoneMoves = field(factory=ZoneMoves)
    report_lag_s: float = 0.0
    one_way_s: float = 0.0005
    settings: EndpointSettings = EndpointSettings()
    budget: Budget = field(factory=lambda: Budget(0.1))
    views: dict[str, EndpointView] = field(factory=dict)
    sessions: dict[str, str] = field(factory=dict)

    def view(self, instance: Instance) -> EndpointView:
        """Return what is known of an endpoint."""
        known = self.views.get(instance.name)
        if known is None:
            known = self.views[instance.name] = EndpointView(instance)
        return known

    def serve(self, request: FakeRequest) -> None:
        """Answer a request, or mark it refused."""
        self.budget.earn()
        self._attempt(request, set())

    def _attempt(self, request: FakeRequest, excluded: set[str]) -> None:
        instance = self.choose(self, request, excluded)
        if instance is None:
            self._refused(request)
            return
        request.attempts += 1
        request.endpoint = instance.name
        view = self.view(instance)
        view.sent(self.events.now_s, request.prefix, request.organisation)
        if request.session:
            self._remember(request.session, instance.name)

        def reply(ended: FakeRequest, ok: bool, load: Load) -> None:
            lag_s = max(self.report_lag_s, self.one_way_s)
            made_at_s = self.events.now_s
            self.events.after(lag_s, lambda: view.reported(load, made_at_s))
            self.events.after(
                self.one_way_s, lambda: self._answered(ended, ok, view, excluded)
            )

        sidecar = self.sidecars[instance.name]
        sidecar.expected += 1
        self.events.after(self.one_way_s, lambda: sidecar.run(request, reply))

    def _answered(
        self, request: FakeRequest, ok: bool, view: EndpointView, excluded: set[str]
    ) -> None:
        view.ended(True, self.events.now_s, request.organisation)
        if ok:
            request.ok = True
            return
        excluded.add(view.instance.name)
        passed_s = self.events.now_s - request.arrived_at_s
        has_time = passed_s < RETRY_BEFORE_SHARE * request.deadline_s
        can_retry = has_time and request.attempts < MAX_ATTEMPTS
        if can_retry and self.budget.spend():
            self._attempt(request, excluded)
            return
        self._refused(request)

    def _refused(self, request: FakeRequest) -> None:
        request.refused = True
        request.ended_at_s = self.events.now_s

    def _remember(self, session: str, endpoint: str) -> None:
        self.sessions[session] = endpoint
        if len(self.sessions) > MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]


def choose_ours(
    entry: FakeEntry, request: FakeRequest, excluded: set[str]
) -> Instance | None:
    """Choose by the real decision."""
    zones = {i.availability_zone for i in entry.subset}
    now_s = entry.events.now_s
    decided = choose_endpoint(
        entry.subset,
        entry.views,
        now_s,
        entry.rng,
        entry.fleet,
        excluded=excluded,
        session_endpoint=entry.sessions.get(request.session, ""),
        prefix_hash=request.prefix,
        organisation=request.organisation,
        zone_shares={zone: entry.zone_moves.share(zone, now_s) for zone in zones},
        settings=entry.settings,
    )
    return None if isinstance(decided, Refusal) else decided.endpoint
