"""Choices of many gateways among endpoints of uneven and changing pace.

The load answered: gateways that read the same few and old reports, before endpoints of
0.6, 1 and 1.6 times the normal speed on machines with noisy neighbours. There is no
network; gateways choose, and learn from responses, by the code that serves requests.

Use: ``python -m acaciacove.bench.pace_trial FIRST_SEED LAST_SEED``.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from math import inf
from random import Random
from statistics import fmean
from sys import argv
from typing import Any

from attrs import define, evolve, field, frozen
from rich.console import Console
from rich.table import Table

from acaciacove.bench.gateway_decision_cost import a_gateway
from acaciacove.decisions.endpoint_pace import EndpointPace
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choose_endpoint import choose_endpoint
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_hints import CallerHints
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.request_context import RequestContext

GATEWAY_COUNTS = (5, 24, 68, 380)
ENDPOINTS = 22
SPEEDS = (0.6, 1.0, 1.6)
# Machines with a noisy neighbour are this many times slower for some seconds. The
# report changes every step by as much as the noise besides.
NEIGHBOUR_PACE = 3.0
NEIGHBOUR_SHARE = 0.25
NEIGHBOUR_S = (2.0, 6.0)
NOISE = (0.7, 1.3)
STEP_S = 0.1
DURATION_S = 24.0
# All neighbours leave at once at this time, and every machine is as usual from then on.
QUIET_FROM_S = 18.0
# Not measured: what gateways know is still that of a start.
WARM_UP_S = 4.0
WINDOW_S = 1.0
BASE_S = 0.01
TOKENS = (200, 4_000)
TOKENS_PER_S = 40_000.0
# The first part of a prompt, by which gateways that know nothing spread prompts.
SHARED_TOKENS = 20
UTILISATION = 0.6
# A turn is a change from above the first multiple of an endpoint's usual requests in
# a window to below the second in the next window, or the reverse.
TURN = (1.5, 0.5)
MakePace = Callable[[], EndpointPace]


class UnwrittenLog(EventLog):
    """Writes nothing, since lines need the time of an event loop."""

    def write(self, event: Event, routine: bool = False, **fields: Any) -> None:
        """Drop the line."""


class UnusedPace(EndpointPace):
    """All endpoints count as equally fast, as before."""

    def slowness(self, now_s: float) -> float:
        """Return the usual time."""
        return 1.0


class AgelessPace(EndpointPace):
    """The mean of reports holds until the next report."""

    def machine_pace(self, now_s: float) -> float:
        """Return the mean of reports at the last one."""
        return self._mean if self.is_reported else 1.0


class LatestPace(EndpointPace):
    """The latest report counts in full for as long as reports count."""

    def report(self, pace: float, now_s: float) -> None:
        """Forget the earlier reports."""
        self._weight = 0.0
        super().report(pace, now_s)

    def machine_pace(self, now_s: float) -> float:
        """Return the latest report, which approaches 1 with its age."""
        usual_weight = self._weight / (self._weight + 1.0)
        return 1.0 + (super().machine_pace(now_s) - 1.0) / (usual_weight or 1.0)


@define
class Machine:
    """An endpoint on a machine: it does one piece of work after the other.

    ``paces`` is the time of work there, own speed included, for each step, and
    ``reported`` that of the machine alone.
    """

    paces: list[float]
    reported: list[float]
    free_s: float = 0.0
    requests: int = 0
    by_window: Counter[int] = field(factory=Counter)

    def finish_s(self, work_s: float, now_s: float) -> float:
        """Return when work that arrives now would be done."""
        at_s = max(now_s, self.free_s)
        while True:
            step = int(at_s / STEP_S + 1e-9)
            pace = self.paces[min(step, len(self.paces) - 1)]
            end_s = (step + 1) * STEP_S
            if at_s + work_s * pace <= end_s:
                return at_s + work_s * pace
            work_s -= (end_s - at_s) / pace
            at_s = end_s

    def pace_at(self, now_s: float) -> float:
        """Return the pace that the machine reports, in steps of a hundredth."""
        step = min(int(now_s / STEP_S + 1e-9), len(self.reported) - 1)
        return round(self.reported[step], 2)


@frozen
class PaceTrial:
    """Measures of one trial.

    ``busiest`` is the mean over windows of the busiest endpoint's requests over the
    mean endpoint's; ``turns`` are changes of direction per endpoint and window.
    ``mean_s`` is the mean time of a request, ``quiet_s`` that after the neighbours
    have left. The oracle's values are those with perfect knowledge of queues and paces.
    """

    busiest: float
    turns: float
    oracle_busiest: float
    oracle_turns: float
    mean_s: float
    oracle_s: float
    quiet_s: float


def play(
    gateways: int,
    seed: int,
    make_pace: MakePace = EndpointPace,
    with_prompts: bool = True,
) -> PaceTrial:
    """Play the trial; requests without prompts are those of plain endpoints."""
    arrivals = list(_arrivals(seed))
    machines = _machines(seed)
    times = _send_all(arrivals, machines, gateways, make_pace, with_prompts, seed)
    oracle = _machines(seed)
    best = []
    for now_s, tokens in arrivals:
        work_s = BASE_S + tokens / TOKENS_PER_S
        finish_s, number = min(
            (m.finish_s(work_s, now_s), n) for n, m in enumerate(oracle)
        )
        oracle[number].free_s = finish_s
        oracle[number].by_window[int(now_s / WINDOW_S)] += 1
        best.append((now_s, finish_s - now_s))
    return PaceTrial(
        *_spread(machines),
        *_spread(oracle),
        _mean_s(times, WARM_UP_S),
        _mean_s(best, WARM_UP_S),
        _mean_s(times, QUIET_FROM_S),
    )


def _arrivals(seed: int) -> Iterator[tuple[float, int]]:
    """Draw the time and tokens of each request."""
    random = Random(f"arrivals-{seed}")
    slowed = 1.0 - NEIGHBOUR_SHARE + NEIGHBOUR_SHARE / NEIGHBOUR_PACE
    work_s = BASE_S + fmean(TOKENS) / TOKENS_PER_S
    per_s = UTILISATION * ENDPOINTS * fmean(SPEEDS) * slowed / work_s
    now_s = random.expovariate(per_s)
    while now_s < DURATION_S:
        yield now_s, random.randint(*TOKENS)
        now_s += random.expovariate(per_s)


def _machines(seed: int) -> list[Machine]:
    random = Random(f"machines-{seed}")
    machines = []
    for number in range(ENDPOINTS):
        reported: list[float] = []
        while len(reported) * STEP_S < DURATION_S:
            is_slow = random.random() < NEIGHBOUR_SHARE
            level = NEIGHBOUR_PACE if is_slow else 1.0
            for _ in range(int(random.uniform(*NEIGHBOUR_S) / STEP_S)):
                is_quiet = len(reported) * STEP_S >= QUIET_FROM_S
                base = 1.0 if is_quiet else level
                reported.append(base * random.uniform(*NOISE))
        speed = SPEEDS[number % len(SPEEDS)]
        machines.append(Machine([pace / speed for pace in reported], reported))
    return machines


def _gateways(count: int, make_pace: MakePace) -> list[Gateway]:
    gateways = []
    for number in range(count):
        gateway = a_gateway(ENDPOINTS)
        gateway.random = Random(number)
        gateway.log = UnwrittenLog(gateway.settings.name, descriptor=None)
        for name, endpoint in gateway.view.endpoints.items():
            local = evolve(endpoint, availability_zone="a")
            gateway.view.endpoints[name] = local
            gateway.states.of(local).pace = make_pace()
        gateways.append(gateway)
    return gateways


def _context(
    gateway: Gateway, number: int, tokens: int, with_prompts: bool
) -> RequestContext:
    # No two prompts share a part, so nothing is cached.
    parts = ((f"shared-{number}", SHARED_TOKENS), ("own", tokens))
    prompt = Prompt(parts, tokens + SHARED_TOKENS, 40) if with_prompts else None
    hints = CallerHints(str(number), None, None, None, prompt, None, None)
    request = CallerRequest(b"POST", b"/draft/1", "api", (), b"", hints, 0.0)
    assert gateway.view.catalogue is not None
    route = gateway.view.catalogue.routes[0]
    service = gateway.view.catalogue.services["model"]
    return RequestContext(request, route, service, None, None, inf, "small")


def _send_all(
    arrivals: list[tuple[float, int]],
    machines: list[Machine],
    gateway_count: int,
    make_pace: MakePace,
    with_prompts: bool,
    seed: int,
) -> list[tuple[float, float]]:
    """Send each request through a random gateway; return arrivals with their times."""
    random = Random(f"callers-{seed}")
    gateways = _gateways(gateway_count, make_pace)
    running: list[tuple[float, int, Exchange, Machine]] = []
    times = []
    for number, (now_s, tokens) in enumerate(arrivals):
        while running and running[0][0] <= now_s:
            at_s, _, exchange, machine = heappop(running)
            _receive(exchange, machine, at_s)
        gateway = random.choice(gateways)
        context = _context(gateway, number, tokens, with_prompts)
        state = choose_endpoint(gateway, context, now_s)
        assert state is not None
        exchange = Exchange(gateway, context, state, sent_at_s=now_s)
        exchange.enqueue(now_s)
        state.load.in_flight += 1
        machine = machines[_number(state)]
        finish_s = machine.finish_s(BASE_S + tokens / TOKENS_PER_S, now_s)
        machine.free_s = finish_s
        machine.requests += 1
        machine.by_window[int(now_s / WINDOW_S)] += 1
        times.append((now_s, finish_s - now_s))
        heappush(running, (finish_s, number, exchange, machine))
    return times


def _number(state: EndpointState) -> int:
    return int(state.endpoint.instance.rpartition("-")[2])


def _receive(exchange: Exchange, machine: Machine, now_s: float) -> None:
    """Do what a gateway does as a response arrives."""
    state = exchange.state
    state.load.in_flight -= 1
    machine.requests -= 1
    state.load.apply_report(machine.requests, 0, now_s)
    state.pace.report(machine.pace_at(now_s), now_s)
    exchange.record_first_chunk(now_s)
    exchange.record_whole_response(now_s)


def _spread(machines: list[Machine]) -> tuple[float, float]:
    """Return how busy the busiest endpoint is, and the changes of direction."""
    windows = range(int(WARM_UP_S / WINDOW_S), int(DURATION_S / WINDOW_S))
    busiest = []
    for window in windows:
        counts = [machine.by_window[window] for machine in machines]
        busiest.append(max(counts) / fmean(counts))
    turns = 0
    for machine in machines:
        usual = fmean(machine.by_window[window] for window in windows)
        for window in windows[1:]:
            pair = sorted((machine.by_window[window - 1], machine.by_window[window]))
            turns += pair[1] > TURN[0] * usual and pair[0] < TURN[1] * usual
    return fmean(busiest), turns / (ENDPOINTS * (len(windows) - 1))


def _mean_s(times: list[tuple[float, float]], from_s: float) -> float:
    return fmean(took_s for now_s, took_s in times if now_s >= from_s)


def main() -> None:
    """Print the means over seeds for each number of gateways and kind of estimate."""
    seeds = range(int(argv[1]), int(argv[2]) + 1)
    table = Table("requests", "gateways", "pace")
    for column in ("busiest", "oracle", "turns", "oracle", "mean / oracle", "quiet s"):
        table.add_column(column, justify="right")
    for with_prompts in (True, False):
        for gateways in GATEWAY_COUNTS:
            for make_pace in (EndpointPace, UnusedPace, AgelessPace, LatestPace):
                trials = [play(gateways, s, make_pace, with_prompts) for s in seeds]
                table.add_row(
                    "prompts" if with_prompts else "plain",
                    str(gateways),
                    make_pace.__name__,
                    f"{fmean(trial.busiest for trial in trials):.2f}",
                    f"{fmean(trial.oracle_busiest for trial in trials):.2f}",
                    f"{fmean(trial.turns for trial in trials):.3f}",
                    f"{fmean(trial.oracle_turns for trial in trials):.3f}",
                    f"{fmean(t.mean_s / t.oracle_s for t in trials):.2f}",
                    f"{fmean(trial.quiet_s for trial in trials):.3f}",
                )
    Console(soft_wrap=True).print(table)


if __name__ == "__main__":
    main()
