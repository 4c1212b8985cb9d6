"""States of all endpoints that are registered or still have requests in flight."""

from collections import OrderedDict
from collections.abc import Iterable

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.endpoint_notice import EndpointNotice
from acaciacove.gateway.choice.stable_hash import stable_hash32
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.http.connection_pool import ConnectionPool

# Incarnations whose notices are retained: those of weeks. An entry that expires and
# returns belongs to the same incarnation, whose notices still hold.
MAX_NOTICES = 4_096


def endpoint_id(instance: str) -> int:
    """Return the id of an endpoint in gateways' messages."""
    return stable_hash32(instance)


def incarnation_id(endpoint: Endpoint) -> int:
    """Return the id of one incarnation of an endpoint in gateways' messages."""
    return stable_hash32("/".join(endpoint.key))


class EndpointStates:
    """The state of each incarnation of each endpoint.

    ``notices`` holds what those have asked for that asked for something.
    """

    def __init__(self) -> None:
        """Start without endpoints."""
        self.notices: OrderedDict[tuple[str, str], EndpointNotice] = OrderedDict()
        self._states: dict[tuple[str, str], EndpointState] = {}
        self._by_id: dict[int, EndpointState] = {}
        self._by_incarnation: dict[int, EndpointState] = {}

    def of(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an endpoint, created if needed, and update its entry."""
        state = self._states.get(endpoint.key)
        if state is None:
            pool = ConnectionPool(endpoint.host, endpoint.port)
            state = EndpointState(endpoint=endpoint, pool=pool)
            self._states[endpoint.key] = state
            self._by_id[endpoint_id(endpoint.instance)] = state
            self._by_incarnation[incarnation_id(endpoint)] = state
        state.endpoint = endpoint
        return state

    def record_notice(self, endpoint: Endpoint) -> EndpointNotice:
        """Return the notice of an endpoint's incarnation, created if needed."""
        notice = self.notices.pop(endpoint.key, None) or EndpointNotice()
        self.notices[endpoint.key] = notice
        while len(self.notices) > MAX_NOTICES:
            self.notices.popitem(last=False)
        return notice

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint leaves, by the log or by its own responses.

        Its own announcement holds though the log has none: the log may be unavailable,
        and the endpoint gone before it is back.
        """
        if endpoint.draining or not self.notices:
            return endpoint.draining
        notice = self.notices.get(endpoint.key)
        return notice is not None and notice.leaving

    def rest_left_s(self, endpoint: Endpoint, now_s: float) -> float:
        """Return for how long the endpoint has asked this gateway to send nothing."""
        notice = self.notices.get(endpoint.key) if self.notices else None
        return 0.0 if notice is None else notice.rest_left_s(now_s)

    def is_willing(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether the endpoint neither leaves nor rests."""
        return (
            not self.is_leaving(endpoint) and self.rest_left_s(endpoint, now_s) <= 0.0
        )

    def find(self, number: int) -> EndpointState | None:
        """Return the state of an endpoint's newest incarnation, None if unknown."""
        return self._by_id.get(number)

    def find_incarnation(self, number: int) -> EndpointState | None:
        """Return the state of the incarnation with this id, None if unknown."""
        return self._by_incarnation.get(number)

    def sync(self, endpoints: Iterable[Endpoint]) -> None:
        """Create states of new endpoints, and remove those of removed endpoints.

        The idle connections of removed endpoints are closed. A state is only removed
        once no request is in flight at its endpoint.
        """
        registered = {endpoint.key for endpoint in endpoints}
        for endpoint in endpoints:
            self.of(endpoint)
        for key, state in list(self._states.items()):
            if key in registered:
                state.pool.close_expired()
                continue
            state.pool.close()
            if state.load.in_flight == 0:
                del self._states[key]
                self._remove_ids(state)

    def _remove_ids(self, state: EndpointState) -> None:
        number = endpoint_id(state.endpoint.instance)
        if self._by_id.get(number) is state:
            del self._by_id[number]
        self._by_incarnation.pop(incarnation_id(state.endpoint), None)

    def all(self) -> Iterable[EndpointState]:
        """Return all states."""
        return self._states.values()
