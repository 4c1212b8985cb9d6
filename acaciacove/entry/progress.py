"""How far a request has come over its attempts."""

from attrs import define, field

from acaciacove.fleet.version_id import VersionId


@define
class Progress:
    """Attempts made so far and what of the answer the caller already has.

    ``may_have_run`` turns true with the first attempt that an endpoint may have
    seen, after which no refusal may say "not run". ``cost`` sums what finished
    attempts cost, those that a cascade judged short included.
    """

    attempts: int = 0
    may_have_run: bool = False
    delivered_tokens: int = 0
    delivered_bytes: int = 0
    cost: float = 0.0
    version: VersionId | None = None
    failed_endpoints: set[str] = field(factory=set)
    short_versions: set[VersionId] = field(factory=set)

    @property
    def is_begun(self) -> bool:
        """Tell whether the caller already has a part of the answer."""
        return self.delivered_bytes > 0
