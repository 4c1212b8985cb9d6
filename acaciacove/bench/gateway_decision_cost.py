"""What a gateway's decisions cost.

Use: ``python -m acaciacove.bench.gateway_decision_cost``.
"""

from statistics import median
from time import perf_counter

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.catalogue.service_share import ServiceShare
from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choose_endpoint import choose_endpoint
from acaciacove.gateway.choose_model import choose_first_model, choose_next_model
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_hints import CallerHints
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.routing_view import RoutingView
from acaciacove.platform.header_fields import DIALECT
from acaciacove.standins.gateway_fleet import gateway_settings

ENDPOINT_COUNTS = (5, 26, 100, 600)
REPEATS = 400
SIZES = ("small", "middle", "large")
MICROSECONDS = 1e6


def a_gateway(endpoints: int) -> Gateway:
    """Return a gateway that knows this many endpoints of one service."""
    settings = gateway_settings("gateway-0", "10.0.1.1", "a")
    gateway = Gateway(
        settings, DIALECT, RoutingView(lambda: 0.0), EventLog("gateway-0", None)
    )
    gateway.members_loaded = True
    costs = {name: 0.05 * (rank + 1) for rank, name in enumerate(SIZES)}
    service = Service("model", 100, slots=64, model_costs=costs)
    route = Route(
        "draft",
        "api",
        "/draft/",
        (ServiceShare("model", 1.0),),
        Repetition.STREAMING,
        timeout_s=10.0,
        latency_target_s=2.0,
        max_attempts=3,
        resumable=True,
        model_sizes=SIZES,
    )
    gateway.view.catalogue = Catalogue(
        0, 1, (route,), {"model": service}, {}, False, CallerLimits()
    )
    for number in range(endpoints):
        name = f"engine-{number}"
        zone = "abc"[number % 3]
        gateway.view.endpoints[name] = Endpoint(
            name, "1", "model", "10.0.2.1", 9000, zone, "v1", 64, False, 0.0
        )
    return gateway


def a_work(gateway: Gateway, number: int) -> RequestContext:
    """Return a request with three prompt parts."""
    prompt = Prompt(
        (("all", 2500), (f"subject-{number % 40}", 3800), (str(number), 900)), 7200, 300
    )
    hints = CallerHints(str(number), None, None, None, prompt, None, None)
    request = CallerRequest(b"POST", b"/draft/1", "api", (), b"", hints, 0.0)
    assert gateway.view.catalogue is not None
    route = gateway.view.catalogue.routes[0]
    service = gateway.view.catalogue.services["model"]
    return RequestContext(request, route, service, None, None, 10.0, "small")


def measure(endpoints: int) -> dict[str, float]:
    """Return the median microseconds of each decision."""
    gateway = a_gateway(endpoints)
    taken: dict[str, list[float]] = {
        "first model": [],
        "endpoint": [],
        "next model": [],
    }
    for number in range(REPEATS):
        work, now_s = a_work(gateway, number), number * 0.01
        began = perf_counter()
        choose_first_model(gateway, work, now_s)
        chosen = perf_counter()
        choose_endpoint(gateway, work, now_s)
        placed = perf_counter()
        choose_next_model(gateway, work, 40.0, now_s)
        ended = perf_counter()
        taken["first model"].append(chosen - began)
        taken["endpoint"].append(placed - chosen)
        taken["next model"].append(ended - placed)
    return {name: median(times) * MICROSECONDS for name, times in taken.items()}


def main() -> None:
    """Print a row for each number of endpoints."""
    for endpoints in ENDPOINT_COUNTS:
        costs = measure(endpoints)
        told = ", ".join(f"{name} {cost:.0f} us" for name, cost in costs.items())
        print(f"{endpoints} endpoints: {told}")


if __name__ == "__main__":
    main()
