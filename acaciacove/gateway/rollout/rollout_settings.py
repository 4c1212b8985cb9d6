"""Bounds and timing of roll-outs."""

from attrs import frozen


@frozen
class RolloutSettings:
    """The exposure bound of the operator and the margins below it.

    At most ``exposure_share`` of a service's requests since the order, plus
    ``exposure_extra``, summed over all gateways, may reach a version that turns out
    bad. ``*_from`` and ``*_by`` are shares of the order's duration.
    """

    exposure_share: float = 0.15
    exposure_extra: float = 30.0
    # Shares of the permitted exposure up to which new sessions are sent to the new
    # version, and up to which sessions that already use it stay there. The difference
    # is reserved for later requests of these sessions: a session that had to return
    # because the exposure was used up would change versions twice. The rest is for
    # requests in flight when a version is found bad.
    new_session_margin: float = 0.8
    known_session_margin: float = 0.95
    # Sessions may be sent to the new version only from this share of the duration on.
    # Requests of a session reach any gateway, and a gateway that has not served a
    # session before takes it for new, even if it began before the order. So no
    # session is sent to the new version earlier. The margin above one half covers
    # gateways that received the order at different times.
    sessions_from: float = 0.52
    # Share of requests without a session sent to the new version from the start.
    trial_share: float = 0.1
    # Share of sessions sent to it from ``sessions_from`` on. The total is limited by
    # the exposure; a large share collects evidence early, which leaves time for the
    # verdict and the cutover.
    session_trial_share: float = 0.5
    # The new version must have this share of the old one's usable endpoints before it
    # takes over. With fewer, the service would lose capacity permanently.
    least_capacity: float = 0.75
    # From this share of the duration on, the roll-out is recorded as completed even
    # if requests of the old version are in flight, which are then lost.
    complete_by: float = 0.90
    # When a version that is not yet proven sound is rolled back.
    decide_by: float = 1.0
    # The completion is recorded at the earliest this many seconds after the cutover,
    # which covers reports of peers that are still in transit.
    quiet_s: float = 0.6
