"""One roll-out over a few entries: requests, late ratings, judges, the log."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

from attrs import define, evolve, field, frozen
from numpy.random import Generator, default_rng

from acaciacove.bench.rollout_truth import OLD_MEAN, Truth, draw_score
from acaciacove.decisions.choice_settings import ChoiceSettings
from acaciacove.decisions.evidence_kind import EvidenceKind
from acaciacove.decisions.exposures import exposures
from acaciacove.decisions.guard_action import GuardAction
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.decisions.version_choice import choose_version
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import ANY_VERSION, Organisation
from acaciacove.fleet.quarantine import Quarantine
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.refusal import Refusal

OLD = VersionId("guide", "1")
NEW = VersionId("guide", "2")
API = Api("guide", ApiKind.MODEL, 0.6)
ORGANISATION = Organisation("bench", allowed={"guide": (ANY_VERSION,)})
JUDGES = 2
EXCHANGE_S = 1.0
SPREAD_S = 1.0
OLD_FAILURES = 0.01
NEVER_S = float("inf")


@frozen
class RolloutSettings:
    """The traffic of a roll-out; the new version is released at ``released_at_s``."""

    seed: int
    entries: int = 4
    rate_per_s: float = 16.0
    rated_share: float = 0.15
    rating_delay_s: float = 60.0
    released_at_s: float = 600.0
    duration_s: float = 4200.0
    new_failures: float = OLD_FAILURES
    guarded: bool = True
    fixed_share: float = 0.05


@define
class RolloutResult:
    """Counts of a roll-out; times are infinite for what never happened."""

    requests: int = 0
    exposed: int = 0
    decided_at_s: float = NEVER_S
    stopped_everywhere_at_s: float = NEVER_S
    full_at_s: float = NEVER_S


@define
class RolloutPlay:
    """State of one simulated roll-out."""

    settings: RolloutSettings
    truth: Truth
    result: RolloutResult = field(factory=RolloutResult)
    fleets: list[FleetState] = field(factory=list)
    guards: list[RolloutGuard] = field(factory=list)
    _due: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _sequence: int = 0
    _ratings: int = 0
    _log: FleetState = field(factory=lambda: _first_fleet())
    _last_evidence_at_s: float = 0.0
    _now_s: float = 0.0

    def run(self) -> RolloutResult:
        """Play until the end, or until the new version is stopped everywhere.

        Requests after that are counted but not played: none reaches it.
        """
        settings = self.settings
        numbers = default_rng([settings.seed, 7])
        rng = Random(settings.seed)
        self.guards = [RolloutGuard(f"entry-{n}") for n in range(settings.entries)]
        self.fleets = [self._log] * settings.entries
        plans = PlanCache(QualityEstimates("bench"), ChoiceSettings(max_tried_share=0))
        self._at(settings.released_at_s, self._release)
        self._at(EXCHANGE_S, self._exchange)
        while self._now_s < settings.duration_s:
            step_s = float(numbers.exponential(1.0 / settings.rate_per_s))
            self._advance(self._now_s + step_s)
            self._request(rng, numbers, plans)
            if self.result.stopped_everywhere_at_s < NEVER_S:
                break
        left_s = max(0.0, settings.duration_s - self._now_s)
        self.result.requests += int(numbers.poisson(settings.rate_per_s * left_s))
        return self.result

    def _request(self, rng: Random, numbers: Generator, plans: PlanCache) -> None:
        entry = rng.randrange(len(self.guards))
        fleet = self.fleets[entry]
        shares = exposures(fleet)
        if not self.settings.guarded:
            shares = dict.fromkeys(shares, self.settings.fixed_share)
        chosen = choose_version(
            fleet, ORGANISATION, API, "interactive-short", plans, rng, shares=shares
        )
        assert not isinstance(chosen, Refusal)
        is_new = chosen.version == NEW
        if self._now_s >= self.settings.released_at_s:
            self.result.requests += 1
            self.result.exposed += is_new
        if not self.settings.guarded:
            return
        chance = self.settings.new_failures if is_new else OLD_FAILURES
        ok = rng.random() >= chance
        self.guards[entry].observe(
            fleet, chosen.version, EvidenceKind.SUCCESS, float(ok), self._ratings
        )
        if is_new and not ok:
            self._last_evidence_at_s = self._now_s
        if ok and rng.random() < self.settings.rated_share:
            mean = self.truth(self._now_s) if is_new else OLD_MEAN
            self._rate(chosen.version, draw_score(mean, numbers), numbers)

    def _rate(self, version: VersionId, score: float, numbers: Generator) -> None:
        """Deliver a rating late, to whichever entry fetches it."""
        delay_s = float(numbers.exponential(self.settings.rating_delay_s))

        def deliver() -> None:
            self._ratings += 1
            reader = self._ratings % len(self.guards)
            self.guards[reader].observe(
                self.fleets[reader], version, EvidenceKind.RATING, score, self._ratings
            )
            if version == NEW:
                self._last_evidence_at_s = self._now_s

        self._at(self._now_s + delay_s, deliver)

    def _exchange(self) -> None:
        """Send counters to the judges, which then weigh them."""
        for entry, guard in enumerate(self.guards):
            cells = guard.export_delta()
            for judge in range(JUDGES):
                if judge != entry:
                    self.guards[judge].merge(cells)
        for judge in range(JUDGES):
            self._judge(judge)
        self._at(self._now_s + EXCHANGE_S, self._exchange)

    def _judge(self, judge: int) -> None:
        fleet = self.fleets[judge]
        version = fleet.versions.get(NEW)
        if version is None or NEW in fleet.quarantines or not self.settings.guarded:
            return
        verdict = self.guards[judge].verdict(fleet, version)
        if verdict.action is GuardAction.QUARANTINE:
            self._stop(verdict.reason)
        elif verdict.action is GuardAction.WIDEN:
            grown = max(verdict.share, self._log.exposures.get(NEW, 0.0))
            self._append(evolve(self._log, exposures={NEW: grown}))
            if grown >= 1.0:
                self.result.full_at_s = min(self.result.full_at_s, self._now_s)

    def _stop(self, reason: str) -> None:
        if self._log.quarantines:
            return
        self.result.decided_at_s = self._last_evidence_at_s
        stopped = Quarantine(NEW, reason, 1)
        self._append(evolve(self._log, quarantines={NEW: stopped}))

    def _release(self) -> None:
        new = Version(NEW, API.name, 1.0, quality=0.8, replaces=OLD)
        self._append(evolve(self._log, versions={**self._log.versions, NEW: new}))

    def _append(self, fleet: FleetState) -> None:
        """Append to the log; each entry reads it within ``SPREAD_S``."""
        self._log = fleet
        for entry in range(len(self.fleets)):
            delay_s = SPREAD_S * (entry + 1) / len(self.fleets)
            self._at(self._now_s + delay_s, self._reader(entry, fleet))

    def _reader(self, entry: int, fleet: FleetState) -> Callable[[], None]:
        def read() -> None:
            self.fleets[entry] = fleet
            if all(NEW in known.quarantines for known in self.fleets):
                self.result.stopped_everywhere_at_s = min(
                    self.result.stopped_everywhere_at_s, self._now_s
                )

        return read

    def _at(self, time_s: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heappush(self._due, (time_s, self._sequence, callback))

    def _advance(self, until_s: float) -> None:
        while self._due and self._due[0][0] <= until_s:
            self._now_s, _, callback = heappop(self._due)
            callback()
        self._now_s = until_s


def _first_fleet() -> FleetState:
    old = Version(OLD, API.name, 1.0, quality=0.8)
    return FleetState(apis={API.name: API}, versions={OLD: old})
