"""Where work goes under heavy load, without a network."""

from heapq import heappop, heappush
from random import Random
from statistics import median

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.endpoint_load import (
    MAX_REPORT_AGE_S,
    UNKNOWN_LOAD_SHARE,
    EndpointLoad,
    baseline_peer_requests,
)
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choose_endpoint import choose_endpoint
from acaciacove.gateway.endpoint_states import endpoint_id
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_hints import CallerHints
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.peers.work_gossip import WorkGossip
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.routing_view import RoutingView
from acaciacove.messages.work_sent import WorkSent
from acaciacove.platform.header_fields import DIALECT
from acaciacove.standins.gateway_fleet import gateway_settings
from acaciacove.wire.codec import decode
from tests.gateway_world import catalogue

# The largest deployment that was measured: 29 gateways before 24 engines, each of
# which a gateway asks only every other second.
GATEWAYS = 29
ENGINES = 24
REQUESTS_PER_S = 340.0
# An engine's requests take this long each, so the fleet is busy for 85 in 100.
SERVICE_S = 0.06
BACKLOG = 50


def test_unknown_load_is_estimated_from_the_baseline():
    silent = EndpointLoad(in_flight=1)
    busy = EndpointLoad()
    busy.apply_report(running=10, waiting=2, now_s=100.0)
    baseline = baseline_peer_requests([silent, busy], 100.0)
    assert baseline == 12.0
    assert silent.estimate(100.0, baseline) == 1.0 + UNKNOWN_LOAD_SHARE * baseline
    assert (
        busy.estimate(100.0 + MAX_REPORT_AGE_S, baseline)
        == UNKNOWN_LOAD_SHARE * baseline
    )
    assert baseline_peer_requests([silent], 100.0) == 0.0


class Engine:
    """Runs requests in turn; each answer begins when its request's turn comes."""

    def __init__(self):
        self.free_s = 0.0
        self.arrivals = 0

    def take(self, now_s):
        self.free_s = max(now_s, self.free_s) + SERVICE_S
        return self.free_s

    def queued(self, now_s):
        return round(max(0.0, self.free_s - now_s) / SERVICE_S)


def make_gateways(names):
    """Gateways that believe in the same endpoints."""
    made = []
    for number in range(GATEWAYS):
        settings = gateway_settings(f"gateway-{number}", "10.0.1.1", "a")
        view = RoutingView(lambda: 0.0)
        view.catalogue = catalogue()
        for name in names:
            view.endpoints[name] = Endpoint(
                name, "1", "model", "10.0.2.1", 9000, "a", "v1", 64, False, 0.0
            )
        log = EventLog(settings.name, descriptor=None)
        gateway = Gateway(settings, DIALECT, view, log)
        gateway.random = Random(number)
        made.append(gateway)
    return made


def make_context(gateway, number, now_s, tokens=500):
    prompt = Prompt((("own", tokens),), tokens, 40)
    hints = CallerHints(str(number), None, None, None, prompt, None, None)
    request = CallerRequest(b"POST", b"/draft/1", "h", (), b"", hints, now_s)
    current = gateway.view.catalogue
    route = next(r for r in current.routes if r.name == "draft")
    service = current.services["model"]
    return RequestContext(
        request, route, service, None, None, now_s + 5.0, "small", None
    )


def simulate(seconds, backlog):
    """Let callers come for some seconds; returns the engines by name."""
    random = Random(7)
    names = [f"engine-{number}" for number in range(ENGINES)]
    engines = {name: Engine() for name in names}
    gateways = make_gateways(names)
    engines[names[0]].free_s = backlog * SERVICE_S
    events, number = [], 0
    heappush(events, (0.0, number, None, None))
    while events:
        now_s, _, gateway, name = heappop(events)
        if gateway is not None:
            state = gateway.states.of(gateway.view.endpoints[name])
            state.load.in_flight -= 1
            state.load.apply_report(engines[name].queued(now_s), 0, now_s)
            continue
        if now_s >= seconds:
            continue
        number += 1
        receiver = random.choice(gateways)
        state = choose_endpoint(receiver, make_context(receiver, number, now_s), now_s)
        engine = engines[state.endpoint.instance]
        engine.arrivals += 1
        state.load.in_flight += 1
        answer = (engine.take(now_s), number, receiver, state.endpoint.instance)
        heappush(events, answer)
        gap_s = random.expovariate(REQUESTS_PER_S)
        heappush(events, (now_s + gap_s, -number, None, None))
    return engines


def test_engine_with_a_backlog_gets_less_than_its_share():
    """An engine has three seconds of work before it, from a burst or a long prompt.
    It answers seldom, so it reports seldom. Gateways that took it for idle between
    reports sent it almost twice its share (77 requests of 43): its queue did not end,
    and its callers waited two to three seconds long after the burst. Each gateway has
    to ask it once to learn of it, and none asks again before it is through.
    """
    engines = simulate(seconds=3.0, backlog=BACKLOG)
    fair_share = sum(engine.arrivals for engine in engines.values()) / ENGINES
    assert engines["engine-0"].arrivals <= GATEWAYS
    assert engines["engine-0"].arrivals < fair_share


def test_no_engine_idles_while_others_queue():
    """Where a load that nobody knows counts for more than the known ones, gateways
    stay with the engines that they know, and the others stand idle beside queues.
    """
    engines = simulate(seconds=9.0, backlog=0)
    fair_share = sum(engine.arrivals for engine in engines.values()) / ENGINES
    for engine in engines.values():
        assert 0.5 * fair_share < engine.arrivals < 1.3 * fair_share


# One prompt in five is long, and the fleet reads for 60 seconds in a hundred.
LONG_S = 0.8
SHORT_S = 0.05
PROMPTS_PER_S = 70.0
TOKENS_PER_S = 20_000.0


def connect_gossip(gateways):
    """Carry word of prompts between gateways as datagrams are."""
    now_s = [0.0]
    news = {}
    for gateway in gateways:
        name = gateway.settings.name
        others = [g.settings.name for g in gateways if g is not gateway]
        news[name] = WorkGossip(
            lambda others=others: others,
            lambda data, name: news[name].apply(decode(data), now_s[0]),
            gateway.states,
            gateway.log,
        )
        gateway.gossip_work = news[name].send_update
    return now_s


def simulate_long_prompts(seconds, with_gossip):
    """Return, for each second, how long prompts waited at each engine."""
    random = Random(11)
    names = [f"engine-{number}" for number in range(ENGINES)]
    free_s = dict.fromkeys(names, 0.0)
    gateways = make_gateways(names)
    clock = connect_gossip(gateways) if with_gossip else [0.0]
    for gateway in gateways:
        for endpoint in gateway.view.endpoints.values():
            gateway.states.of(endpoint)
    waits = [[] for _ in range(seconds)]
    events, number, now_s = [], 0, 0.0
    while now_s < seconds:
        while events and events[0][0] <= now_s:
            at_s, asked, gateway, name = heappop(events)
            state = gateway.states.of(gateway.view.endpoints[name])
            state.load.in_flight -= 1
            state.backlog.record_first_chunk(asked, at_s)
        number += 1
        clock[0] = now_s
        receiver = random.choice(gateways)
        work_s = LONG_S if random.random() < 0.2 else SHORT_S
        work = make_context(receiver, number, now_s, round(work_s * TOKENS_PER_S))
        state = choose_endpoint(receiver, work, now_s)
        name = state.endpoint.instance
        state.load.in_flight += 1
        state.backlog.send(number, work_s, now_s)
        receiver.gossip_work(WorkSent(endpoint_id(name), work_s, ()), now_s)
        waits[int(now_s)].append(max(0.0, free_s[name] - now_s))
        free_s[name] = max(now_s, free_s[name]) + work_s
        heappush(events, (free_s[name], number, receiver, name))
        now_s += random.expovariate(PROMPTS_PER_S)
    return waits


def test_long_prompts_spread_over_engines_with_gossip():
    """Guards against seconds of queue at one engine while the one beside it is free."""
    for second in simulate_long_prompts(20, with_gossip=True)[1:]:
        assert max(second) <= median(second) + 1.0


def test_long_prompts_collide_without_gossip():
    """Shows that the load above is one that gateways cannot spread alone."""
    alone = simulate_long_prompts(20, with_gossip=False)[1:]
    assert any(max(second) > median(second) + 1.0 for second in alone)
