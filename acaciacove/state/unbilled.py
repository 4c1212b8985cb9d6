"""A billing record that is not known to be in the log."""

from attrs import define, field

from acaciacove.state.billing_record import BillingRecord


@define(eq=False)
class Unbilled:
    """A held record; it is appended at ``due_s`` (the loop's time) unless confirmed.

    ``entry`` is the process expected to append it, or "" for a record of one's own.
    ``holders`` are the sidecars that hold a copy and are told once it is in the log.
    """

    record: BillingRecord
    due_s: float
    entry: str = ""
    holders: tuple[str, ...] = ()
    submitted: bool = field(default=False)
