"""Draws the faults of a soak: a pure function of its settings."""

from random import Random

from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.soak.fault_kind import LEAVES, ON_LOG, FaultKind
from acaciacove.soak.planned_fault import PlannedFault

# Faults begin once the fleet serves, and end in time for it to serve again.
FIRST_S = 2.0
QUIET_END_SHARE = 0.65
MEAN_GAP_S = 0.8
SHORTEST_S = 0.5
LONGEST_S = 5.0
# Gateways that miss a revocation: they are kept from the log for longer than a key is
# honoured without a proof, and the key is taken away right after that begins.
BLINDING = (FaultKind.LOG_AWAY, FaultKind.LOG_SILENT, FaultKind.LOG_MUTE)
BLIND_SHARE = 0.3
BLIND_S = 9.0
BLIND_BEFORE_S = 0.3
# Long enough for all to know of a limit, and for windows in which it must hold.
LIMITED_S = 10.0
# Leaves come right after one gateway's calls to the log began to fail, or as soon after
# an outage as gateways are held to their bounds again.
LEAVE_GAP_S = (2.0, 5.0)
BESIDE_SHARE = 0.6
BESIDE_S = (0.1, 0.9)
AFTER_OUTAGE_SHARE = 0.2
OUTAGE_S = (2.5, 5.0)
AFTER_S = (3.05, 3.5)
# One plan of so many leaves the log alone but for that: away, it excuses all gateways.
CALM_LOG_EVERY = 3
# Restarts come in series, each shortly after the one before, and overlap with others.
SERIES_SHARE = 0.2
SERIES_LENGTH = 3
SERIES_GAP_S = 0.7


Drawn = tuple[float, FaultKind, int, float]
# Leaves without a word, and what stands beside them, are drawn for themselves.
DRAWN_KINDS = [
    kind
    for kind in FaultKind
    if kind not in (FaultKind.ENDPOINT_REMOVED, FaultKind.LOG_TURNS_AWAY)
]


def plan_faults(settings: SoakSettings) -> tuple[PlannedFault, ...]:
    """Return the faults in order of time, without those that settings leave out."""
    random = Random(settings.seed)
    last_s = QUIET_END_SHARE * settings.seconds
    at_s = FIRST_S
    drawn: list[Drawn] = []
    while at_s < last_s:
        kind = random.choice(DRAWN_KINDS)
        target = random.randrange(1_000_000)
        for_s = random.uniform(SHORTEST_S, LONGEST_S)
        if kind in BLINDING and random.random() < BLIND_SHARE:
            for_s = BLIND_S
            missed = (at_s + BLIND_BEFORE_S, FaultKind.KEY_REVOKED, target, 0.0)
            drawn.append(missed)
        if kind is FaultKind.ENDPOINT_LIMITS:
            for_s = LIMITED_S
        drawn.append((at_s, kind, target, for_s))
        if kind is FaultKind.TERMINATE and random.random() < SERIES_SHARE:
            drawn += [
                (at_s + SERIES_GAP_S * step, kind, target + step, for_s)
                for step in range(1, SERIES_LENGTH)
            ]
        at_s += random.expovariate(1.0 / MEAN_GAP_S)
    if settings.seed % CALM_LOG_EVERY == 0:
        drawn = [fault for fault in drawn if fault[1] not in ON_LOG]
    drawn += _draw_leaves(Random(f"leaves/{settings.seed}"), last_s)
    plan = [
        PlannedFault(number, *fault) for number, fault in enumerate(sorted(drawn), 1)
    ]
    if settings.only:
        kept = {int(number) for number in settings.only.split(",")}
        plan = [fault for fault in plan if fault.number in kept]
    return tuple(plan)


def _draw_leaves(random: Random, last_s: float) -> list[Drawn]:
    """Draw leaves with what comes before each, apart from a plan's other faults."""
    drawn: list[Drawn] = []
    at_s = FIRST_S + random.uniform(*LEAVE_GAP_S)
    while at_s < last_s:
        kind = random.choice(sorted(LEAVES))
        drawn += _draw_before(random, at_s)
        drawn.append((at_s, kind, random.randrange(1_000_000), 0.0))
        at_s += random.uniform(*LEAVE_GAP_S)
    return drawn


def _draw_before(random: Random, at_s: float) -> list[Drawn]:
    """Draw what comes before a leave: failing calls, an outage, or nothing."""
    share = random.random()
    if share < BESIDE_SHARE:
        begin_s = at_s - random.uniform(*BESIDE_S)
        for_s = random.uniform(SHORTEST_S, LONGEST_S)
        return [(begin_s, FaultKind.LOG_TURNS_AWAY, 0, for_s)]
    if share < BESIDE_SHARE + AFTER_OUTAGE_SHARE:
        away_s = random.uniform(*OUTAGE_S)
        begin_s = max(FIRST_S, at_s - random.uniform(*AFTER_S) - away_s)
        return [(begin_s, FaultKind.LOG_AWAY, 0, away_s)]
    return []
