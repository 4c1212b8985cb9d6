"""How a stand-in for an endpoint of the users' platform behaves."""

from collections.abc import Container

from attrs import define


@define(eq=False)
class EndpointBehaviour:
    """Faults that a test or demo switches on; all off by default.

    ``work_s`` passes before an answer or the first event, ``gap_s`` between
    events. ``failing`` answers 500, ``failing_every`` does so for each n-th request
    (of ``failing_path`` only, if given), ``full`` says that it has not run,
    ``mute`` never answers, ``cut_after`` breaks the connection after so many
    events and half of another (0: before the head), ``late_answer`` sends another
    request's answer first, ``unsigned`` leaves the receipt out, ``confidence`` by
    model is told with the head. ``lost_answers`` requests are run, and their
    connections closed without an answer. ``early_end`` ends a body short of its
    length. A run of a request with one of ``crashing_bodies`` ends the
    endpoint. ``limit_per_s`` is stated in each answer.
    """

    work_s: float = 0.02
    gap_s: float = 0.01
    events: int = 4
    failing: bool = False
    failing_every: int = 0
    failing_path: str = ""
    full: bool = False
    mute: bool = False
    cut_after: int | None = None
    late_answer: bool = False
    unsigned: bool = False
    early_end: bool = False
    lost_answers: int = 0
    limit_per_s: float | None = None
    crashing_bodies: Container[bytes] = ()
    confidence: dict[str, int] | None = None
