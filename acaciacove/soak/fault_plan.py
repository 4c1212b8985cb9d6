"""Draws the fault plan of a soak, as a pure function of its settings."""

from random import Random

from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.soak.fault_kind import DEPARTURES, LOG_FAULTS, FaultKind
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.repeated_faults import RepeatedFaults

# Faults start once the fleet serves, and end early enough for it to recover.
FIRST_FAULT_S = 2.0
FAULTS_END_SHARE = 0.65
MEAN_GAP_S = 0.8
MIN_DURATION_S = 0.5
MAX_DURATION_S = 5.0
# Gateways that miss a revocation: their access to the log fails for longer than they
# accept a key without confirmation, and the key is revoked just after the start.
LOG_OUTAGES = (FaultKind.LOG_AWAY, FaultKind.LOG_SILENT, FaultKind.LOG_MUTE)
MISSED_REVOCATION_SHARE = 0.3
MISSED_REVOCATION_OUTAGE_S = 9.0
REVOCATION_AFTER_OUTAGE_START_S = 0.3
# Long enough for all gateways to learn of the limit, and for whole windows in which
# it must hold afterwards.
LIMIT_DURATION_S = 10.0
# Departures come right after one gateway's calls to the log began to fail, or as soon
# after an outage as the time limits apply to gateways again.
DEPARTURE_INTERVAL_S = (2.0, 5.0)
LOG_REFUSAL_SHARE = 0.6
LOG_REFUSAL_LEAD_S = (0.1, 0.9)
AFTER_OUTAGE_SHARE = 0.2
OUTAGE_DURATION_S = (2.5, 5.0)
DEPARTURE_AFTER_OUTAGE_S = (3.05, 3.5)
# One in so many plans has no faults of the log except outages before departures: an
# outage of the log excuses all gateways from their time limits.
NO_LOG_FAULTS_EVERY = 3
# Some restarts come in series, at short intervals, and overlap with other faults.
RESTART_SERIES_SHARE = 0.2
RESTART_SERIES_LENGTH = 3
RESTART_SERIES_INTERVAL_S = 0.7


DrawnFault = tuple[float, FaultKind, int, float]
# What endpoints say of themselves, and changes of a large catalogue, come at intervals.
NOTICE_INTERVAL_S = (2.0, 5.0)
NOTICE_KINDS = (
    FaultKind.ENDPOINT_ANNOUNCES,
    FaultKind.ENDPOINT_RESTS,
    FaultKind.CATALOGUE_GROWS,
)
REST_DURATION_S = 4.0
REPEATED_FAULTS = (
    # Queues and slow callers last long enough for admission levels to rise and for
    # buffers to fill, and end before the next ones begin.
    RepeatedFaults(
        name="loads",
        kinds=(FaultKind.ENDPOINTS_QUEUE, FaultKind.CALLERS_SLOW),
        interval_s=(4.0, 6.0),
        duration_s=4.0,
    ),
    RepeatedFaults(
        name="endings",
        kinds=(
            FaultKind.ENDPOINT_CLOSE_DELIMITED,
            FaultKind.ENDPOINT_ENDS_INSIDE_EVENT,
        ),
        interval_s=(2.0, 5.0),
        duration_s=4.0,
    ),
    RepeatedFaults(
        name="copies",
        kinds=(FaultKind.LOG_RESTORED,),
        interval_s=(8.0, 16.0),
        duration_s=1.5,
    ),
    RepeatedFaults(
        name="parts",
        kinds=(FaultKind.PROMPT_PART_CRASHES,),
        interval_s=(6.0, 14.0),
        duration_s=0.0,
    ),
)
# Connections are concentrated after the other faults, in every other plan: only then is
# a lower share of served requests due to it.
CONCENTRATION_AFTER_S = 5.0
CONCENTRATION_DURATION_S = 7.0
# The catalogue grows while the log refuses all calls, and a key is revoked as soon as
# it takes them again.
GROWTH_S = 2.5
GROWTH_MARGIN_S = 0.1
# Unannounced departures, the log's refusals before them, notices, loads, the ways in
# which answers end, returns of the log from a copy, crashing parts of prompts and
# concentrated connections are drawn separately.
SEPARATE_KINDS = frozenset(
    {
        FaultKind.ENDPOINT_REMOVED,
        FaultKind.LOG_TURNS_AWAY,
        FaultKind.CONNECTIONS_CONCENTRATED,
        *NOTICE_KINDS,
        *(kind for group in REPEATED_FAULTS for kind in group.kinds),
    }
)
DRAWN_KINDS = [kind for kind in FaultKind if kind not in SEPARATE_KINDS]


def plan_faults(settings: SoakSettings) -> tuple[PlannedFault, ...]:
    """Return the faults in order of time, restricted to ``settings.only`` if set."""
    random = Random(settings.seed)
    last_s = FAULTS_END_SHARE * settings.seconds
    at_s = FIRST_FAULT_S
    drawn: list[DrawnFault] = []
    while at_s < last_s:
        kind = random.choice(DRAWN_KINDS)
        target = random.randrange(1_000_000)
        duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        if kind in LOG_OUTAGES and random.random() < MISSED_REVOCATION_SHARE:
            duration_s = MISSED_REVOCATION_OUTAGE_S
            revocation = (
                at_s + REVOCATION_AFTER_OUTAGE_START_S,
                FaultKind.KEY_REVOKED,
                target,
                0.0,
            )
            drawn.append(revocation)
        if kind is FaultKind.ENDPOINT_LIMITS:
            duration_s = LIMIT_DURATION_S
        drawn.append((at_s, kind, target, duration_s))
        if kind is FaultKind.TERMINATE and random.random() < RESTART_SERIES_SHARE:
            drawn += [
                (
                    at_s + RESTART_SERIES_INTERVAL_S * step,
                    kind,
                    target + step,
                    duration_s,
                )
                for step in range(1, RESTART_SERIES_LENGTH)
            ]
        at_s += random.expovariate(1.0 / MEAN_GAP_S)
    has_log_faults = settings.seed % NO_LOG_FAULTS_EVERY != 0
    if not has_log_faults:
        drawn = [fault for fault in drawn if fault[1] not in LOG_FAULTS]
    drawn += _draw_departures(Random(f"leaves/{settings.seed}"), last_s)
    drawn += _draw_notices(Random(f"notices/{settings.seed}"), last_s)
    for group in REPEATED_FAULTS:
        if not has_log_faults and LOG_FAULTS.issuperset(group.kinds):
            continue
        drawn += _draw_repeated(Random(f"{group.name}/{settings.seed}"), last_s, group)
    if settings.seed % 2 == 0:
        at_s = last_s + CONCENTRATION_AFTER_S
        concentrated = FaultKind.CONNECTIONS_CONCENTRATED
        drawn.append((at_s, concentrated, 0, CONCENTRATION_DURATION_S))
    plan = [
        PlannedFault(number, *fault) for number, fault in enumerate(sorted(drawn), 1)
    ]
    if settings.only:
        kept = {int(number) for number in settings.only.split(",")}
        plan = [fault for fault in plan if fault.number in kept]
    return tuple(plan)


def _draw_departures(random: Random, last_s: float) -> list[DrawnFault]:
    """Draw departures with the faults before them, from a separate generator."""
    drawn: list[DrawnFault] = []
    at_s = FIRST_FAULT_S + random.uniform(*DEPARTURE_INTERVAL_S)
    while at_s < last_s:
        kind = random.choice(sorted(DEPARTURES))
        drawn += _draw_preceding_faults(random, at_s)
        drawn.append((at_s, kind, random.randrange(1_000_000), 0.0))
        at_s += random.uniform(*DEPARTURE_INTERVAL_S)
    return drawn


def _draw_preceding_faults(random: Random, at_s: float) -> list[DrawnFault]:
    """Draw the fault before a departure: refused calls, an outage, or none."""
    share = random.random()
    if share < LOG_REFUSAL_SHARE:
        begin_s = at_s - random.uniform(*LOG_REFUSAL_LEAD_S)
        duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        return [(begin_s, FaultKind.LOG_TURNS_AWAY, 0, duration_s)]
    if share < LOG_REFUSAL_SHARE + AFTER_OUTAGE_SHARE:
        outage_s = random.uniform(*OUTAGE_DURATION_S)
        begin_s = max(
            FIRST_FAULT_S, at_s - random.uniform(*DEPARTURE_AFTER_OUTAGE_S) - outage_s
        )
        return [(begin_s, FaultKind.LOG_AWAY, 0, outage_s)]
    return []


def _draw_notices(random: Random, last_s: float) -> list[DrawnFault]:
    """Draw departures and rests that endpoints announce, and bursts of changes."""
    drawn: list[DrawnFault] = []
    at_s = FIRST_FAULT_S + random.uniform(*NOTICE_INTERVAL_S) / 2.0
    while at_s < last_s:
        kind = random.choice(NOTICE_KINDS)
        target = random.randrange(1_000_000)
        if kind is FaultKind.CATALOGUE_GROWS:
            drawn += _draw_growth(at_s, target)
        else:
            drawn.append((at_s, kind, target, REST_DURATION_S))
        at_s += random.uniform(*NOTICE_INTERVAL_S)
    return drawn


def _draw_repeated(
    random: Random, last_s: float, faults: RepeatedFaults
) -> list[DrawnFault]:
    """Draw the faults of one group, from its own generator."""
    drawn: list[DrawnFault] = []
    at_s = FIRST_FAULT_S + random.uniform(*faults.interval_s) / 2.0
    while at_s < last_s:
        kind = random.choice(faults.kinds)
        drawn.append((at_s, kind, random.randrange(1_000_000), faults.duration_s))
        at_s += random.uniform(*faults.interval_s)
    return drawn


def _draw_growth(at_s: float, target: int) -> list[DrawnFault]:
    """Return a burst of changes during an outage, and a revocation after it."""
    outage_s = GROWTH_S + 2.0 * GROWTH_MARGIN_S
    revoked_s = at_s + outage_s + GROWTH_MARGIN_S
    return [
        (at_s, FaultKind.LOG_REFUSES, 0, outage_s),
        (at_s + GROWTH_MARGIN_S, FaultKind.CATALOGUE_GROWS, target, GROWTH_S),
        (revoked_s, FaultKind.KEY_REVOKED, target, 0.0),
    ]
