"""A way to try another version than the planned one."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class Trial:
    """``ladder`` to use instead of the plan's, on a ``probability`` of the requests.

    With ``always_escalates`` the first answer is only rated, never delivered.
    """

    ladder: tuple[VersionId, ...]
    always_escalates: bool
    probability: float
