"""A version of a model or service, as declared in a release note."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class Version:
    """A version that serves one API.

    ``cost_per_1k_tokens`` is in the release note's currency; for a plain service it
    is the cost per call. ``quality`` is the declared mean rating, 0 to 1, used as the
    prior of the learned estimate. ``cold_bears`` and ``warm_bears`` are the capacity
    of one endpoint in concurrent requests, freshly started and warm; ``warm_up_s`` is
    the time from one to the other. ``replaces`` is the version that this one is
    rolled out against, and ``first_share`` the initial traffic share of the roll-out.
    A withdrawn version stays in the fleet state, so that requests for it are refused
    by name.
    """

    id: VersionId
    api: str
    cost_per_1k_tokens: float
    quality: float = 0.5
    cold_bears: int = 1
    warm_bears: int = 8
    warm_up_s: float = 60.0
    replaces: VersionId | None = None
    first_share: float = 0.01
    withdrawn: bool = False
