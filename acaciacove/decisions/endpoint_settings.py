"""Settings of the choice of an endpoint."""

from attrs import frozen


@frozen
class EndpointSettings:
    """How endpoints are compared.

    ``choices`` are sampled at random; a report loses its say by half every
    ``half_life_s``. ``prefix_gain`` is the share of a service time that a cached
    prefix saves, ``session_gain`` the same for a session's own endpoint.
    """

    choices: int = 3
    half_life_s: float = 1.0
    prefix_gain: float = 0.3
    session_gain: float = 0.5
    default_service_s: float = 1.0
    default_limit: int = 8
    failure_pause_s: float = 2.0
