"""Settings of membership."""

from attrs import frozen


@frozen
class MembershipSettings:
    """Time limits of evidence and probes.

    A report of an instance about itself takes precedence over the platform's list for
    ``fresh_s``. A watched instance is probed after ``probe_after_s`` without a message
    and receives no new requests after ``silent_s``. An instance that is gone is probed
    every ``retry_s``, and removed ``forget_s`` after it disappeared from the list.
    Digests contain evidence that is up to ``evidence_s`` old, at most
    ``evidence_count`` items each.
    """

    fresh_s: float = 2.5
    probe_after_s: float = 0.8
    silent_s: float = 2.2
    retry_s: float = 1.0
    forget_s: float = 120.0
    evidence_s: float = 6.0
    evidence_count: int = 4
