"""An organisation: a team of callers with its permissions."""

from attrs import field, frozen

from acaciacove.fleet.version_id import VersionId

ANY_VERSION = "*"


@frozen
class Organisation:
    """A team of callers that an operator approved.

    ``token_sha256`` holds hexadecimal digests of its bearer tokens (several while
    a token is replaced). ``allowed`` maps a model name to the versions that it may
    use; ``ANY_VERSION`` allows all of them. ``weight`` sets its share of the capacity
    under load, relative to other organisations.
    """

    name: str
    token_sha256: tuple[str, ...] = ()
    allowed: dict[str, tuple[str, ...]] = field(factory=dict)
    weight: float = 1.0

    def allows(self, version: VersionId) -> bool:
        """Return whether this organisation may use a version."""
        versions = self.allowed.get(version.model, ())
        return ANY_VERSION in versions or version.version in versions
