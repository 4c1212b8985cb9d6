"""Settings of membership."""

from attrs import frozen


@frozen
class MembershipSettings:
    """How long evidence lasts.

    An instance's own word outweighs the platform's list for ``fresh_s``. A watched
    instance that was silent for ``probe_after_s`` is probed, and gets no new work
    once it was silent for ``silent_s``. One that is gone is probed every
    ``retry_s`` and forgotten ``forget_s`` after the list has dropped it. What was
    learned is passed on for ``evidence_s``, ``evidence_count`` items a digest.
    """

    fresh_s: float = 2.5
    probe_after_s: float = 0.8
    silent_s: float = 2.2
    retry_s: float = 1.0
    forget_s: float = 120.0
    evidence_s: float = 6.0
    evidence_count: int = 4
