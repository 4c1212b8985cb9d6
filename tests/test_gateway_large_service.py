"""Choices among hundreds of endpoints of a large service, without a network."""

from collections import Counter
from random import Random

import pytest

from acaciacove.decisions.endpoint_backlog import EndpointBacklog
from acaciacove.gateway.beliefs import Beliefs
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choice.weigh_endpoint import home_of
from acaciacove.gateway.choose_endpoint import MOST_COMPARED, choose_endpoint
from acaciacove.gateway.choose_model import choose_next_model
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_hints import CallerHints
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.keep_limit import with_free_connections
from acaciacove.gateway.work import Work
from acaciacove.platform.header_fields import DIALECT
from acaciacove.standins.gateway_fleet import gateway_settings
from tests.gateway_world import catalogue

KEYS = 4000


class CountedBacklog(EndpointBacklog):
    """Counts the calls of ``wait_s``."""

    looked_up = 0

    def wait_s(self, now_s, usual_s):
        CountedBacklog.looked_up += 1
        return super().wait_s(now_s, usual_s)


def a_gateway(endpoints, name="gateway-0"):
    beliefs = Beliefs(lambda: 0.0)
    beliefs.catalogue = catalogue()
    for number in range(endpoints):
        engine = f"engine-{number}"
        beliefs.endpoints[engine] = Endpoint(
            engine, "1", "model", "10.0.2.1", 9000, "a", "v1", 64, False, 0.0
        )
    settings = gateway_settings(name, "10.0.1.1", "a")
    gateway = Gateway(settings, DIALECT, beliefs, EventLog(name, descriptor=None))
    gateway.members_known = True
    gateway.random = Random(name)
    return gateway


def states_of(gateway):
    return [gateway.states.of(e) for e in gateway.beliefs.endpoints.values()]


def a_work(gateway, subject="subject"):
    prompt = Prompt((("all", 2000), (subject, 4000), ("own", 500)), 6500, 40)
    hints = CallerHints("1", None, None, None, prompt, None, None)
    request = CallerRequest(b"POST", b"/draft/1", "h", (), b"", hints, 0.0)
    current = gateway.beliefs.catalogue
    route = next(r for r in current.routes if r.name == "draft")
    service = current.services["model"]
    return Work(request, route, service, None, None, 5.0, "small")


def test_homes_of_prompts_are_spread_evenly_and_alike_for_all():
    """Guards against gateways that send the same prefix to different endpoints."""
    states = states_of(a_gateway(40))
    homes = Counter()
    for key in range(KEYS):
        home = home_of(f"{key:x}", "small", states)
        assert home is home_of(f"{key:x}", "small", states[::-1])
        homes[home.endpoint.instance] += 1
    fair = KEYS / len(states)
    assert all(0.6 * fair < homes[s.endpoint.instance] < 1.4 * fair for s in states)


def test_an_endpoint_that_leaves_moves_no_other_home():
    """Guards against recomputing all prompts whenever one endpoint is removed."""
    states = states_of(a_gateway(40))
    left, rest = states[0], states[1:]
    for key in range(KEYS // 10):
        home = home_of(f"{key:x}", "small", states)
        assert home is left or home is home_of(f"{key:x}", "small", rest)


def test_a_choice_among_hundreds_compares_a_few():
    """Guards against decisions that take longer the larger the service is."""
    gateway = a_gateway(600)
    for state in states_of(gateway):
        state.backlog = CountedBacklog()
    CountedBacklog.looked_up = 0
    assert choose_endpoint(gateway, a_work(gateway), 1.0) is not None
    assert CountedBacklog.looked_up <= MOST_COMPARED + 1
    CountedBacklog.looked_up = 0
    choose_next_model(gateway, a_work(gateway), 10.0, 1.0)
    assert CountedBacklog.looked_up <= MOST_COMPARED


def test_gateways_of_a_large_service_meet_at_the_homes_of_prompts():
    """Guards against a sample of endpoints that omits the preferred one."""
    gateways = [a_gateway(600, f"gateway-{number}") for number in range(20)]
    chosen = {
        choose_endpoint(gateway, a_work(gateway), 1.0).endpoint.instance
        for gateway in gateways
    }
    assert len(chosen) == 1


@pytest.mark.parametrize("gateways", [1, 5, 28, 68, 380])
@pytest.mark.parametrize("limit", [96, 360])
def test_all_gateways_together_keep_to_an_endpoints_connections(gateways, limit):
    """Guards against minimum shares of many gateways that exceed the limit in sum."""
    everyone = [f"gateway-{number}" for number in range(gateways)]
    parts = []
    for name in everyone:
        gateway = a_gateway(1, name)
        gateway.members = {other: None for other in everyone if other != name}
        (state,) = states_of(gateway)
        state.load.in_flight = 0
        while with_free_connections(gateway, limit, [state]):
            state.load.in_flight += 1
        parts.append(state.load.in_flight)
    assert 0.75 * limit <= sum(parts) <= limit


def test_a_gateway_without_a_part_of_any_connections_still_serves():
    """Guards against gateways that refuse all requests because their share is zero."""
    for number in range(380):
        gateway = a_gateway(3, f"gateway-{number}")
        gateway.members = {f"gateway-{n}": None for n in range(380) if n != number}
        assert with_free_connections(gateway, 96, list(states_of(gateway)))
