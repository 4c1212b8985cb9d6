"""Why overload control refused a request, for its log line."""

from attrs import frozen

from acaciacove.decisions.refusal_cause import RefusalCause


@frozen
class OverloadRefusal:
    """The cause of a refusal, and the admission level and wait that it was based on.

    ``wait_age_s`` is the age of the newest observed wait, None without any.
    """

    cause: RefusalCause
    level: int
    wait_s: float
    wait_age_s: float | None
