"""A first-come, first-served queue behind several gateways, and its callers."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random
from types import SimpleNamespace

from attrs import evolve

from acaciacove.decisions.admission_level import AdmissionLevel
from acaciacove.decisions.admission_request import AdmissionRequest
from acaciacove.decisions.head_waits import HeadWaits
from acaciacove.decisions.retry_after import drain_time_s, retry_after_s

STEP_S, END_S, BURST_AT_S = 0.01, 14.0, 4.0
TOKENS_PER_S, GATEWAYS = 10_000.0, 6
ORGANISATIONS = ("ash", "birch", "cedar", "elm", "fir")
# Priority, latency target and time limit of each route.
ROUTES = {"urgent": (0, 0.5, 5.0), "usual": (2, 1.0, 8.0), "bulk": (5, 2.0, 12.0)}
TARGETS_S = [target_s for _, target_s, _ in ROUTES.values()]


def arrivals(
    rate_per_s=70, surge=1.0, burst=1.0, burst_end_s=8.0, seed=1, priority=None
):
    """Return arrivals; the first organisation sends ``surge`` times the usual."""
    random, result, now_s = Random(seed), [], 0.0
    weights = [surge if name == ORGANISATIONS[0] else 1.0 for name in ORGANISATIONS]
    rate_per_s *= sum(weights) / len(weights)
    while (now_s := now_s + random.expovariate(rate_per_s)) < END_S:
        route = random.choices(list(ROUTES), [1, 2, 1])[0]
        route_priority, _, time_s = ROUTES[route]
        organisation = random.choices(ORGANISATIONS, weights)[0]
        tokens = 100.0 * random.uniform(0.5, 1.5)
        tokens *= burst if BURST_AT_S <= now_s < burst_end_s else 1.0
        key, rank = len(result), route_priority if priority is None else priority
        fields = (key, rank, organisation, route, tokens, time_s, time_s)
        result.append((now_s, AdmissionRequest(*fields)))
    return result


def play(load, retries=0, patience_s=END_S, halved_at_s=END_S):
    """Play a load; each request and each return goes to any of the gateways.

    The result counts tokens and requests. Its ``heads`` are (time, route, latency),
    infinite for a caller that left, and its ``refused`` (Retry-After, time left).
    """
    counters = {name: Counter() for name in ("served", "sent", "admitted", "returned")}
    run = SimpleNamespace(heads=[], refused=[], **counters)
    random, ids = Random(1), count()
    gateways = [(AdmissionLevel(), HeadWaits()) for _ in range(GATEWAYS)]
    events = [(at_s, next(ids), at_s, 0, request) for at_s, request in load]
    queue, now_s = [], 0.0
    while (now_s := now_s + STEP_S) < END_S:
        rate = TOKENS_PER_S * (0.5 if now_s >= halved_at_s else 1.0)
        for level, waits in gateways:
            if level.is_due(now_s):
                level.adjust(waits.wait_s(now_s), TARGETS_S, now_s)
        while events and events[0][0] <= now_s:
            _, _, first_s, tries, request = heappop(events)
            level, waits = random.choice(gateways)
            left_s = first_s + request.time_s - now_s
            request = evolve(request, remaining_s=left_s)
            run.returned[int(now_s)] += request.tokens if tries > retries else 0.0
            names = (request.organisation, request.route)
            run.sent.update(names if not tries else ())
            if level.admits(request, now_s):
                run.admitted.update(names)
                waits.send(request.key, request.tokens / rate, now_s)
                queue.append([request.tokens, now_s, request, waits])
                continue
            returning = level.refused.returning_tokens
            drain_s = drain_time_s(level.wait_s, returning, level.free_per_s)
            after_s = retry_after_s(drain_s, left_s, random.random())
            run.refused.append((after_s, left_s))
            due_s, deadline_s = now_s + after_s, now_s + left_s
            level.refused.record(request.key, request.tokens, due_s, deadline_s)
            again_s = now_s + STEP_S if tries < retries else due_s
            if again_s < deadline_s - 0.1:
                heappush(events, (again_s, next(ids), first_s, tries + 1, request))
        for item in [item for item in queue if now_s - item[1] > patience_s]:
            queue.remove(item)
            item[3].discard(item[2].key, now_s)
            run.heads.append((now_s, item[2].route, inf))
        work = rate * STEP_S
        while queue and work > 0.0:
            done = min(work, queue[0][0])
            work, queue[0][0] = work - done, queue[0][0] - done
            if queue[0][0] <= 0.0:
                _, sent_s, request, waits = queue.pop(0)
                waits.record_head(request.key, now_s)
                run.heads.append((now_s, request.route, now_s - sent_s))
                run.served[request.organisation] += request.tokens
    return run
