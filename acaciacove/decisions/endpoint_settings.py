"""Settings of the choice of an endpoint."""

from attrs import frozen


@frozen
class EndpointSettings:
    """How endpoints are compared.

    ``choices`` are sampled at random, ``exact_choices`` where at least ``own_share``
    of the load is the entry's own. A report loses its say as the work that it
    counted ends: by 1/e per ``fade_services`` service times, ``min_fade_s`` at least.
    ``slower_factor`` times the usual service time counts as slow; below, answers
    only differ in length. ``prefix_gain`` is the share of a service time that a
    cached prefix saves, ``session_gain`` the same for a session's own endpoint. An
    endpoint beyond ``full_share`` of its slots may make a request wait: it has no
    affinity, and each request beyond weighs ``wait_weight`` times. ``spread_weight``
    counts the entry's requests of the same organisation once more: spread out, they
    stay within the organisation's share at every endpoint. Work beyond ``queue_cap``
    times the slots is not compared: behind a flood's long queue, fair queuing serves
    the others alike, and they would all crowd where that queue is shorter.
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
