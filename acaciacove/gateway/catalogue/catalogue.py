"""The operator's catalogue: routes, services and calling organisations."""

from collections.abc import Iterable

from attrs import define, field

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.catalogue.organisation import Organisation
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service


@define(eq=False)
class Catalogue:
    """One complete version of the catalogue.

    ``revision`` is its log offset. ``organisations`` is keyed by API key.
    ``has_organisations`` is false where anybody may call.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation]
    has_organisations: bool
    limits: CallerLimits
    _by_host: dict[str, list[Route]] = field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        """Sort the routes of each host by descending prefix length."""
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        candidates: Iterable[Route] = self._by_host.get(host.lower(), ())
        for route in candidates:
            if path.startswith(route.path_prefix):
                return route
        return None
