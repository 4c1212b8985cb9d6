"""Draws the faults of a soak: a pure function of its settings."""

from random import Random

from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.soak.fault_kind import FaultKind
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
# Restarts come in series, each shortly after the one before, and overlap with others.
SERIES_SHARE = 0.2
SERIES_LENGTH = 3
SERIES_GAP_S = 0.7


def plan_faults(settings: SoakSettings) -> tuple[PlannedFault, ...]:
    """Return the faults in order of time, without those that settings leave out."""
    random = Random(settings.seed)
    last_s = QUIET_END_SHARE * settings.seconds
    at_s = FIRST_S
    drawn: list[tuple[float, FaultKind, int, float]] = []
    while at_s < last_s:
        kind = random.choice(list(FaultKind))
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
    plan = [
        PlannedFault(number, *fault) for number, fault in enumerate(sorted(drawn), 1)
    ]
    if settings.only:
        kept = {int(number) for number in settings.only.split(",")}
        plan = [fault for fault in plan if fault.number in kept]
    return tuple(plan)
