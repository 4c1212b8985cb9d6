"""The catalogue published in a soak."""

from collections.abc import Iterable

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.catalogue.organisation import Organisation
from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.catalogue.service_share import ServiceShare
from acaciacove.soak.call_kind import CallKind

HOST = "soak.example"
APP, MODEL = "app", "model"
SIZES = ("small", "large")
TIMEOUT_S = 4.0
KEYS = tuple(f"key-{number}" for number in range(8))


def organisation_of(key: str) -> str:
    """Return the organisation that owns a key."""
    return f"org-of-{key}"


def service_of(kind: CallKind) -> str:
    """Return the service that requests of this kind are routed to."""
    return MODEL if kind is CallKind.DRAFT else APP


def soak_catalogue(
    version: int, keys: Iterable[str], added_routes: int = 0
) -> Catalogue:
    """Return a catalogue in which these keys are valid, with routes nobody calls."""
    routes = (
        _route(CallKind.BOOK, Repetition.ONCE, max_attempts=2),
        _route(CallKind.LOOK, Repetition.REPEATABLE),
        _route(
            CallKind.DRAFT,
            Repetition.STREAMING,
            resumable=True,
            session_affinity=True,
            model_sizes=SIZES,
        ),
        *(
            _route(CallKind.LOOK, Repetition.REPEATABLE, name=name, path_prefix=name)
            for name in (f"/added-{number}/" for number in range(added_routes))
        ),
    )
    model = Service(
        name=MODEL,
        connection_limit=400,
        slots=64,
        model_costs={"small": 0.02, "large": 0.28},
    )
    return Catalogue(
        revision=0,
        version=version,
        routes=routes,
        services={APP: Service(APP, 400), MODEL: model},
        organisations={key: Organisation(organisation_of(key)) for key in keys},
        has_organisations=True,
        limits=CallerLimits(),
    )


def _route(kind: CallKind, repetition: Repetition, **changes: object) -> Route:
    values = {
        "name": kind.value,
        "host": HOST,
        "path_prefix": f"/{kind.value}/",
        "shares": (ServiceShare(service_of(kind), 1.0),),
        "repetition": repetition,
        "timeout_s": TIMEOUT_S,
        "latency_target_s": 0.5,
        "max_attempts": 3,
    }
    return Route(**(values | changes))  # type: ignore[arg-type]
