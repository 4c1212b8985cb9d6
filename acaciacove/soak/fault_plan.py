"""Draws the faults of a soak: a pure function of its settings."""

from random import Random

from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.soak.fault_kind import DEPARTURES, LOG_FAULTS, FaultKind
from acaciacove.soak.planned_fault import PlannedFault

# Faults begin once the fleet serves, and end in time for it to serve again.
FIRST_FAULT_S = 2.0
FAULTS_END_SHARE = 0.65
MEAN_GAP_S = 0.8
MIN_DURATION_S = 0.5
MAX_DURATION_S = 5.0
# Gateways that miss a revocation: they are kept from the log for longer than a key is
# honoured without a proof, and the key is taken away right after that begins.
LOG_OUTAGES = (FaultKind.LOG_AWAY, FaultKind.LOG_SILENT, FaultKind.LOG_MUTE)
MISSED_REVOCATION_SHARE = 0.3
MISSED_REVOCATION_OUTAGE_S = 9.0
REVOCATION_AFTER_OUTAGE_START_S = 0.3
# Long enough for all to know of a limit, and for windows in which it must hold.
LIMIT_DURATION_S = 10.0
# Leaves come right after one gateway's calls to the log began to fail, or as soon after
# an outage as gateways are held to their bounds again.
DEPARTURE_INTERVAL_S = (2.0, 5.0)
LOG_REFUSAL_SHARE = 0.6
LOG_REFUSAL_LEAD_S = (0.1, 0.9)
AFTER_OUTAGE_SHARE = 0.2
OUTAGE_DURATION_S = (2.5, 5.0)
DEPARTURE_AFTER_OUTAGE_S = (3.05, 3.5)
# One plan of so many leaves the log alone but for that: away, it excuses all gateways.
NO_LOG_FAULTS_EVERY = 3
# Restarts come in series, each shortly after the one before, and overlap with others.
RESTART_SERIES_SHARE = 0.2
RESTART_SERIES_LENGTH = 3
RESTART_SERIES_INTERVAL_S = 0.7


DrawnFault = tuple[float, FaultKind, int, float]
# Leaves without a word, and what stands beside them, are drawn for themselves.
DRAWN_KINDS = [
    kind
    for kind in FaultKind
    if kind not in (FaultKind.ENDPOINT_REMOVED, FaultKind.LOG_TURNS_AWAY)
]


def plan_faults(settings: SoakSettings) -> tuple[PlannedFault, ...]:
    """Return the faults in order of time, without those that settings leave out."""
    random = Random(settings.seed)
    last_s = FAULTS_END_SHARE * settings.seconds
    at_s = FIRST_FAULT_S
    drawn: list[DrawnFault] = []
    while at_s < last_s:
        kind = random.choice(DRAWN_KINDS)
        target = random.randrange(1_000_000)
        for_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        if kind in LOG_OUTAGES and random.random() < MISSED_REVOCATION_SHARE:
            for_s = MISSED_REVOCATION_OUTAGE_S
            revocation = (
                at_s + REVOCATION_AFTER_OUTAGE_START_S,
                FaultKind.KEY_REVOKED,
                target,
                0.0,
            )
            drawn.append(revocation)
        if kind is FaultKind.ENDPOINT_LIMITS:
            for_s = LIMIT_DURATION_S
        drawn.append((at_s, kind, target, for_s))
        if kind is FaultKind.TERMINATE and random.random() < RESTART_SERIES_SHARE:
            drawn += [
                (at_s + RESTART_SERIES_INTERVAL_S * step, kind, target + step, for_s)
                for step in range(1, RESTART_SERIES_LENGTH)
            ]
        at_s += random.expovariate(1.0 / MEAN_GAP_S)
    if settings.seed % NO_LOG_FAULTS_EVERY == 0:
        drawn = [fault for fault in drawn if fault[1] not in LOG_FAULTS]
    drawn += _draw_departures(Random(f"leaves/{settings.seed}"), last_s)
    plan = [
        PlannedFault(number, *fault) for number, fault in enumerate(sorted(drawn), 1)
    ]
    if settings.only:
        kept = {int(number) for number in settings.only.split(",")}
        plan = [fault for fault in plan if fault.number in kept]
    return tuple(plan)


def _draw_departures(random: Random, last_s: float) -> list[DrawnFault]:
    """Draw leaves with what comes before each, apart from a plan's other faults."""
    drawn: list[DrawnFault] = []
    at_s = FIRST_FAULT_S + random.uniform(*DEPARTURE_INTERVAL_S)
    while at_s < last_s:
        kind = random.choice(sorted(DEPARTURES))
        drawn += _draw_preceding_faults(random, at_s)
        drawn.append((at_s, kind, random.randrange(1_000_000), 0.0))
        at_s += random.uniform(*DEPARTURE_INTERVAL_S)
    return drawn


def _draw_preceding_faults(random: Random, at_s: float) -> list[DrawnFault]:
    """Draw what comes before a leave: failing calls, an outage, or nothing."""
    share = random.random()
    if share < LOG_REFUSAL_SHARE:
        begin_s = at_s - random.uniform(*LOG_REFUSAL_LEAD_S)
        for_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        return [(begin_s, FaultKind.LOG_TURNS_AWAY, 0, for_s)]
    if share < LOG_REFUSAL_SHARE + AFTER_OUTAGE_SHARE:
        away_s = random.uniform(*OUTAGE_DURATION_S)
        begin_s = max(
            FIRST_FAULT_S, at_s - random.uniform(*DEPARTURE_AFTER_OUTAGE_S) - away_s
        )
        return [(begin_s, FaultKind.LOG_AWAY, 0, away_s)]
    return []
