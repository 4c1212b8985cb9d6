"""One version of a model or service, as a release note declares it."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class Version:
    """A version that answers one API.

    ``cost_per_1k_tokens`` is in the release note's currency; a plain service
    charges it per call. ``quality`` is the declared mean rating, 0 to 1, a prior
    for the learned estimate. ``cold_bears`` and ``warm_bears`` are concurrent
    requests one endpoint bears when freshly started and when warm, ``warm_up_s``
    the time between them. ``replaces`` names the version this one is rolled out
    against. ``first_share`` is the traffic share a roll-out starts at. A withdrawn
    version stays in the fleet state, so that it is refused by name.
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
