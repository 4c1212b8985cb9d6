"""The name of one version of one model or service."""

from attrs import frozen

SEPARATOR = "@"


@frozen(order=True, cache_hash=True)
class VersionId:
    """A model name with its version, written ``model@version``."""

    model: str
    version: str

    def __str__(self) -> str:
        """Write the id as release notes and logs spell it."""
        return f"{self.model}{SEPARATOR}{self.version}"


def parse_version_id(text: str) -> VersionId | None:
    """Read ``model@version``; None when either half is missing."""
    model, separator, version = text.partition(SEPARATOR)
    if not (model and separator and version):
        return None
    return VersionId(model, version)
