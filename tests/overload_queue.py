"""A first-come, first-served queue behind the admission level, and its callers."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from attrs import define, evolve, field

from acaciacove.decisions.admission_level import AdmissionLevel
from acaciacove.decisions.admission_request import AdmissionRequest
from acaciacove.decisions.head_waits import HeadWaits
from acaciacove.decisions.retry_after import drain_time_s, retry_after_s

STEP_S, END_S = 0.01, 14.0
TOKENS_PER_S = 10_000.0
ORGANISATIONS = ("ash", "birch", "cedar", "elm", "fir")
# Priority, latency target and time limit of each route.
ROUTES = {"urgent": (0, 0.5, 5.0), "usual": (2, 1.0, 8.0), "bulk": (5, 2.0, 12.0)}
TARGETS_S = [target_s for _, target_s, _ in ROUTES.values()]


@define
class Run:
    """What happened, by organisation, route or second.

    ``heads`` are (time, route, latency) of responses, infinite where the caller left.
    """

    offered: Counter = field(factory=Counter)
    served: Counter = field(factory=Counter)
    sent: Counter = field(factory=Counter)
    admitted: Counter = field(factory=Counter)
    returned: Counter = field(factory=Counter)
    heads: list = field(factory=list)
    refused: list = field(factory=list)
    waits: list = field(factory=list)


def arrivals(rate_per_s, surge=1.0, burst=1.0, burst_end_s=8.0, seed=1):
    """Return arrivals (time, request); the first organisation sends ``surge`` times.

    From 4 s on, for a time, prompts are ``burst`` times as long.
    """
    random, result, now_s = Random(seed), [], 0.0
    weights = [surge if name == ORGANISATIONS[0] else 1.0 for name in ORGANISATIONS]
    rate_per_s *= sum(weights) / len(weights)
    while (now_s := now_s + random.expovariate(rate_per_s)) < END_S:
        route = random.choices(list(ROUTES), [1, 2, 1])[0]
        priority, _, time_s = ROUTES[route]
        organisation = random.choices(ORGANISATIONS, weights)[0]
        tokens = 100.0 * random.uniform(0.5, 1.5)
        tokens *= burst if 4.0 <= now_s < burst_end_s else 1.0
        request = AdmissionRequest(
            len(result), priority, organisation, route, tokens, time_s, time_s
        )
        result.append((now_s, request))
    return result


def play(load, decide=None, retries=0, patience_s=END_S, halved_at_s=END_S):
    """Play a load; ``decide(request, backlog_s)`` replaces the admission level."""
    random, run, ids = Random(1), Run(), count()
    level, waits = AdmissionLevel(), HeadWaits()
    events = [(at_s, next(ids), at_s, 0, request) for at_s, request in load]
    queue, backlog, now_s = [], 0.0, 0.0
    for _, request in load:
        run.offered[request.organisation] += request.tokens
    while (now_s := now_s + STEP_S) < END_S:
        rate = TOKENS_PER_S * (0.5 if now_s >= halved_at_s else 1.0)
        if level.is_due(now_s):
            level.adjust(waits.wait_s(now_s), TARGETS_S, now_s)
            run.waits.append((now_s, backlog / rate))
        while events and events[0][0] <= now_s:
            _, _, first_s, tries, request = heappop(events)
            left_s = first_s + request.time_s - now_s
            request = evolve(request, remaining_s=left_s)
            run.returned[int(now_s)] += request.tokens if tries > retries else 0.0
            names = (request.organisation, request.route)
            run.sent.update(names if not tries else ())
            admits = level.admits(request, now_s)
            if decide(request, backlog / rate) if decide else admits:
                run.admitted.update(names)
                waits.send(request.key, request.tokens / rate, now_s)
                queue.append([request.tokens, now_s, request])
                backlog += request.tokens
                continue
            returning = level.refused.returning_tokens
            drain_s = drain_time_s(level.wait_s, returning, level.free_per_s)
            after_s = retry_after_s(drain_s, left_s, random.random())
            run.refused.append((now_s, after_s, left_s))
            level.refused.record(
                request.key, request.tokens, now_s + after_s, now_s + left_s
            )
            again_s = now_s + (STEP_S if tries < retries else after_s)
            if again_s < now_s + left_s - 0.1:
                heappush(events, (again_s, next(ids), first_s, tries + 1, request))
        for item in [item for item in queue if now_s - item[1] > patience_s]:
            queue.remove(item)
            backlog -= item[0]
            waits.discard(item[2].key, now_s)
            run.heads.append((now_s, item[2].route, inf))
        work = rate * STEP_S
        while queue and work > 0.0:
            done = min(work, queue[0][0])
            work, backlog, queue[0][0] = work - done, backlog - done, queue[0][0] - done
            if queue[0][0] <= 0.0:
                _, sent_s, request = queue.pop(0)
                waits.record_head(request.key, now_s)
                run.heads.append((now_s, request.route, now_s - sent_s))
                run.served[request.organisation] += request.tokens
    return run
