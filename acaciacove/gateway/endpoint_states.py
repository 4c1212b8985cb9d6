"""States of all endpoints that are known or still at work."""

from collections.abc import Iterable

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.stable_hash import stable_hash32
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.http.connection_pool import ConnectionPool


def endpoint_id(instance: str) -> int:
    """Return the number by which gateways name an endpoint to each other."""
    return stable_hash32(instance)


def incarnation_id(endpoint: Endpoint) -> int:
    """Return the number by which gateways name one life of an endpoint."""
    return stable_hash32("/".join(endpoint.key))


class EndpointStates:
    """One state for each life of an endpoint."""

    def __init__(self) -> None:
        """Begin without endpoints."""
        self._states: dict[tuple[str, str], EndpointState] = {}
        self._by_id: dict[int, EndpointState] = {}
        self._by_incarnation: dict[int, EndpointState] = {}

    def of(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an endpoint, with its newest report."""
        state = self._states.get(endpoint.key)
        if state is None:
            pool = ConnectionPool(endpoint.host, endpoint.port)
            state = EndpointState(endpoint=endpoint, pool=pool)
            self._states[endpoint.key] = state
            self._by_id[endpoint_id(endpoint.instance)] = state
            self._by_incarnation[incarnation_id(endpoint)] = state
        state.endpoint = endpoint
        return state

    def find(self, number: int) -> EndpointState | None:
        """Return the newest life of the endpoint with an id, None if unknown."""
        return self._by_id.get(number)

    def find_incarnation(self, number: int) -> EndpointState | None:
        """Return the one life of an endpoint with a number, None if unknown."""
        return self._by_incarnation.get(number)

    def sync(self, endpoints: Iterable[Endpoint]) -> None:
        """Have a state for each known endpoint, and forget those that are gone.

        Idle connections are ended with it.
        """
        known = {endpoint.key for endpoint in endpoints}
        for endpoint in endpoints:
            self.of(endpoint)
        for key, state in list(self._states.items()):
            if key in known:
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
        """Return every state."""
        return self._states.values()
