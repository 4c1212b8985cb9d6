"""The caller has left, or another attempt won: stop this one."""

from attrs import frozen


@frozen
class Cancel:
    """The caller has left, or another attempt won: stop this one."""

    request_id: str
    attempt: int
