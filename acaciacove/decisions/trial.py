"""An exploration of another version than the planned one."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class Trial:
    """Uses ``ladder`` instead of the plan's for a random part of the requests.

    ``probability`` is the probability that a request takes part. With
    ``always_escalates`` the first answer is only rated, never delivered.
    """

    ladder: tuple[VersionId, ...]
    always_escalates: bool
    probability: float
