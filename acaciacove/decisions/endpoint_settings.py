"""Settings of the choice of an endpoint."""

from attrs import frozen


@frozen
class EndpointSettings:
    """Settings of the comparison of endpoints.

    Sampling: ``choices`` endpoints are sampled at random, or ``exact_choices`` if at
    least ``own_share`` of the load comes from the entry itself.

    Age of reports: the work that a load report counted ends with time. The weight of
    the report decays by a factor of e per ``fade_services`` service times, or per
    ``min_fade_s`` if that is longer.

    Service time: an endpoint is slow beyond ``slower_factor`` times the baseline
    service time. Smaller differences come from the length of the answers.
    ``prefix_gain`` is the share of the service time that a cached prefix saves,
    ``session_gain`` that of the endpoint of a session. ``default_service_s`` and
    ``default_limit`` apply while no report gives a service time or a limit.

    Load: requests may wait at an endpoint with more than ``full_share`` of its slots
    in use. It gets no affinity, and each request beyond that share counts
    ``wait_weight`` times. ``spread_weight`` is the extra weight of the entry's
    requests of the same organisation; spread over endpoints, they stay within the
    organisation's share at each of them. Work beyond ``queue_cap`` times the slots is
    ignored. Behind a flood's long queue, fair queuing serves all other organisations
    alike, and their requests would otherwise concentrate where that queue is shorter.

    Failures: an endpoint is penalised for ``failure_pause_s`` per failure in a row.
    """

    choices: int = 2
    exact_choices: int = 12
    own_share: float = 0.25
    fade_services: float = 1.0
    min_fade_s: float = 1.0
    slower_factor: float = 2.0
    prefix_gain: float = 0.2
    session_gain: float = 0.2
    full_share: float = 0.85
    wait_weight: float = 4.0
    spread_weight: float = 4.0
    queue_cap: float = 1.0
    default_service_s: float = 1.0
    default_limit: int = 8
    failure_pause_s: float = 2.0
