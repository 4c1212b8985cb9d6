"""Choices among the hundreds of endpoints of a large service, without a network."""

from collections import Counter
from random import Random

import pytest

from acaciacove.decisions.endpoint_backlog import EndpointBacklog
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.prefix_affinity import preferred_endpoint
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choose_endpoint import MAX_COMPARED, choose_endpoint
from acaciacove.gateway.choose_model import choose_next_model
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.fleet_limits import with_free_connections
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_hints import CallerHints
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.routing_view import RoutingView
from acaciacove.platform.header_fields import DIALECT
from acaciacove.standins.gateway_fleet import gateway_settings
from tests.gateway_world import catalogue

KEYS = 4000


class CountedBacklog(EndpointBacklog):
    """Counts how often its wait is looked up."""

    lookups = 0

    def wait_s(self, now_s, baseline_s):
        CountedBacklog.lookups += 1
        return super().wait_s(now_s, baseline_s)


def make_gateway(endpoints, name="gateway-0"):
    view = RoutingView(lambda: 0.0)
    view.catalogue = catalogue()
    for number in range(endpoints):
        engine = f"engine-{number}"
        view.endpoints[engine] = Endpoint(
            engine, "1", "model", "10.0.2.1", 9000, "a", "v1", 64, False, 0.0
        )
    settings = gateway_settings(name, "10.0.1.1", "a")
    gateway = Gateway(settings, DIALECT, view, EventLog(name, descriptor=None))
    gateway.members_loaded = True
    gateway.random = Random(name)
    return gateway


def states_of(gateway):
    return [gateway.states.of(e) for e in gateway.view.endpoints.values()]


def make_context(gateway, subject="subject"):
    prompt = Prompt((("all", 2000), (subject, 4000), ("own", 500)), 6500, 40)
    hints = CallerHints("1", None, None, None, prompt, None, None)
    request = CallerRequest(b"POST", b"/draft/1", "h", (), b"", hints, 0.0)
    current = gateway.view.catalogue
    route = next(r for r in current.routes if r.name == "draft")
    service = current.services["model"]
    return RequestContext(request, route, service, None, None, 5.0, "small")


def test_preferred_endpoints_are_even_and_independent_of_order():
    """Guards against gateways that read shared parts in different places."""
    states = states_of(make_gateway(40))
    preferred_counts = Counter()
    for key in range(KEYS):
        preferred = preferred_endpoint(f"{key:x}", "small", states)
        assert preferred is preferred_endpoint(f"{key:x}", "small", states[::-1])
        preferred_counts[preferred.endpoint.instance] += 1
    fair_share = KEYS / len(states)
    assert all(
        0.6 * fair_share < preferred_counts[s.endpoint.instance] < 1.4 * fair_share
        for s in states
    )


def test_removed_endpoint_moves_only_its_own_prefixes():
    """Guards against reading all prompts again whenever one endpoint goes."""
    states = states_of(make_gateway(40))
    left, rest = states[0], states[1:]
    for key in range(KEYS // 10):
        preferred = preferred_endpoint(f"{key:x}", "small", states)
        assert preferred is left or preferred is preferred_endpoint(
            f"{key:x}", "small", rest
        )


def test_choice_among_hundreds_compares_a_bounded_sample():
    """Guards against decisions that take longer the larger the service is."""
    gateway = make_gateway(600)
    for state in states_of(gateway):
        state.backlog = CountedBacklog()
    CountedBacklog.lookups = 0
    assert choose_endpoint(gateway, make_context(gateway), 1.0) is not None
    assert CountedBacklog.lookups <= MAX_COMPARED + 1
    CountedBacklog.lookups = 0
    choose_next_model(gateway, make_context(gateway), 10.0, 1.0)
    assert CountedBacklog.lookups <= MAX_COMPARED


def test_sample_always_includes_the_preferred_endpoint():
    """Guards against a draw of few endpoints that leaves the prompt's home out."""
    gateways = [make_gateway(600, f"gateway-{number}") for number in range(20)]
    chosen = {
        choose_endpoint(gateway, make_context(gateway), 1.0).endpoint.instance
        for gateway in gateways
    }
    assert len(chosen) == 1


@pytest.mark.parametrize("gateways", [1, 5, 28, 68, 380])
@pytest.mark.parametrize("limit", [96, 360])
def test_all_gateways_together_keep_to_an_endpoints_connections(gateways, limit):
    """Guards against many gateways whose least parts add up to more than there are."""
    all_gateways = [f"gateway-{number}" for number in range(gateways)]
    shares = []
    for name in all_gateways:
        gateway = make_gateway(1, name)
        gateway.members = {other: None for other in all_gateways if other != name}
        (state,) = states_of(gateway)
        state.load.in_flight = 0
        while with_free_connections(gateway, limit, [state]):
            state.load.in_flight += 1
        shares.append(state.load.in_flight)
    assert 0.75 * limit <= sum(shares) <= limit


def test_gateway_without_a_connection_share_still_serves():
    """Guards against gateways that refuse everything since their part is none."""
    for number in range(380):
        gateway = make_gateway(3, f"gateway-{number}")
        gateway.members = {f"gateway-{n}": None for n in range(380) if n != number}
        assert with_free_connections(gateway, 96, list(states_of(gateway)))
