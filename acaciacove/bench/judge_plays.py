"""Plays roll-outs against the gateways' judge, without a network.

``python -m acaciacove.bench.judge_plays [PLAYS]`` prints, for each way to be bad, how
often it was found, missed and left unproven, and what that took.
"""

import sys
from heapq import heappop, heappush
from random import Random

from attrs import define

from acaciacove.bench.judge_fault import JUDGE_FAULTS, JudgeFault
from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.rollout.rollout_phase import RolloutPhase
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress, kind_cell_name
from acaciacove.gateway.rollout.rollout_settings import RolloutSettings
from acaciacove.gateway.rollout.rollout_steps import (
    may_complete,
    may_send_to_target,
    step,
    target_share,
)
from acaciacove.gateway.rollout.version_capacity import VersionCapacity

DURATION_S = 24.0
STEP_S = 0.1
REQUESTS_PER_S = 14.0
# Routes with their shares of the requests and their usual time to a first piece.
ROUTES = {"draft": (0.35, 0.40), "digest": (0.3, 0.20), "chat": (0.35, 0.12)}
# The larger model is asked for half of the requests, and takes three times as long.
LARGE_SHARE = 0.5
LARGE_SLOWER = 3.0
# Times of one kind of request differ by this much (deviation of their logarithm).
TIME_DEVIATION = 0.55
ENDPOINTS = 5
DEFAULT_PLAYS = 1000


@define
class JudgePlay:
    """How one play ended: ``completed``, ``stopped`` or ``unproven``, and when."""

    ending: str
    ended_s: float
    exposed: int
    sent: int


def play_rollout(fault: JudgeFault, seed: int) -> JudgePlay:
    """Play one roll-out of a version with ``fault``."""
    random = Random(f"{fault.name}/{seed}")
    progress = RolloutProgress(RolloutOrder("model", "v2", DURATION_S, 1, 0.0))
    settings = RolloutSettings()
    capacity = VersionCapacity(target=ENDPOINTS, old=ENDPOINTS)
    answers: list[tuple[float, int, bool, float]] = []
    next_request_s = random.expovariate(REQUESTS_PER_S)
    for tick in range(int(DURATION_S / STEP_S) + 2):
        now_s = tick * STEP_S
        while next_request_s <= now_s:
            _send(progress, settings, fault, answers, next_request_s, random)
            next_request_s += random.expovariate(REQUESTS_PER_S)
        while answers and answers[0][0] <= now_s:
            _, number, failed, took_s = heappop(answers)
            progress.record_answer(number, failed, None if failed else took_s)
        step(progress, settings, capacity, now_s)
        if progress.phase is RolloutPhase.STOPPED:
            ending = "stopped" if progress.judged_bad else "unproven"
            return JudgePlay(ending, now_s, progress.sent_target, progress.sent_all)
        if may_complete(progress, settings, capacity, now_s):
            break
    return JudgePlay("completed", now_s, progress.sent_target, progress.sent_all)


def _send(
    progress: RolloutProgress,
    settings: RolloutSettings,
    fault: JudgeFault,
    answers: list[tuple[float, int, bool, float]],
    now_s: float,
    random: Random,
) -> None:
    route = random.choices(list(ROUTES), [share for share, _ in ROUTES.values()])[0]
    model = "large" if random.random() < LARGE_SHARE else "small"
    share = target_share(progress, settings, True, now_s)
    is_target = random.random() < share and may_send_to_target(
        progress, settings, 1, False
    )
    progress.sent_all += 1
    progress.sent_target += is_target
    took_s = ROUTES[route][1] * random.lognormvariate(0.0, TIME_DEVIATION)
    took_s *= LARGE_SLOWER if model == "large" else 1.0
    failed = random.random() < 0.1 and "everywhere" in fault.name
    if is_target and _strikes(progress, fault, route, model, now_s, random):
        failed = failed or fault.slower == 1.0
        took_s *= fault.slower
    endpoint = f"{is_target}-{random.randrange(ENDPOINTS)}"
    number = progress.record_sent(
        is_target, kind_cell_name(route, model), endpoint, now_s
    )
    heappush(answers, (now_s + took_s, number, failed, took_s))


def _strikes(
    progress: RolloutProgress,
    fault: JudgeFault,
    route: str,
    model: str,
    now_s: float,
    random: Random,
) -> bool:
    if now_s < fault.from_s or fault.route not in ("", route):
        return False
    if fault.model not in ("", model):
        return False
    if fault.under_load and progress.phase is not RolloutPhase.ALL:
        return False
    return random.random() < fault.share


def main() -> None:
    """Print the table."""
    plays = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_PLAYS
    print("| version | stopped | unproven | completed | median s | most exposed |")
    print("|---|---:|---:|---:|---:|---:|")
    for fault in JUDGE_FAULTS:
        ends = [play_rollout(fault, seed) for seed in range(plays)]
        counts = [
            sum(end.ending == ending for end in ends)
            for ending in ("stopped", "unproven", "completed")
        ]
        middle_s = sorted(end.ended_s for end in ends)[plays // 2]
        exposed = max(end.exposed / end.sent for end in ends)
        cells = " | ".join(str(count) for count in counts)
        print(f"| {fault.name} | {cells} | {middle_s:.1f} | {exposed:.0%} |")


if __name__ == "__main__":
    main()
