"""Bounds and pace of roll-outs."""

from attrs import frozen


@frozen
class RolloutSettings:
    """What the operator promises, and the margins kept from it.

    ``exposure_share`` of a service's requests since the order, and
    ``exposure_extra`` more, summed over all gateways, may reach a version that
    turns out bad. ``*_from`` and
    ``*_by`` are shares of the order's duration.
    """

    exposure_share: float = 0.15
    exposure_extra: float = 30.0
    # Of the promised exposure, the share up to which new sessions are sent to the
    # new version, and up to which those that are there already stay. Between the
    # two lie their later requests: a session that had to go back for want of
    # exposure would change versions twice. The rest is for requests that are on
    # their way when a version is found bad.
    new_session_margin: float = 0.8
    known_session_margin: float = 0.95
    # Sessions may be moved to the new version only from this share of the time on,
    # and their requests reach any gateway. A session that began before the order is
    # known to the gateways that it has met; at another it would look new and be
    # moved. So none is sent to the new version before; the margin beyond one half
    # covers gateways that saw the order at different moments.
    sessions_from: float = 0.52
    # Share of requests without a session that try the new version from the start.
    trial_share: float = 0.1
    # Share of sessions that try it once they may. The exposure bounds how many do in
    # all; a large share gathers them early, and leaves time to judge and to move.
    session_trial_share: float = 0.5
    # The new version must have this share of the old one's usable endpoints before it
    # takes over: completed with fewer, the service would lose its capacity for good.
    least_capacity: float = 0.75
    # When the roll-out is recorded as completed also with requests of the old version
    # still under way, which are then lost.
    complete_by: float = 0.90
    # When a version that is not proven sound by then is taken back.
    decide_by: float = 1.0
    # Nothing is recorded before this many seconds without a request on the old
    # version anywhere, which covers reports that are on their way.
    quiet_s: float = 0.6
