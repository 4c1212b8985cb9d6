"""Identifier of a version of a model or service."""

from attrs import frozen

SEPARATOR = "@"


@frozen(order=True, cache_hash=True)
class VersionId:
    """A model name with its version, written ``model@version``."""

    model: str
    version: str

    def __str__(self) -> str:
        """Return the form used in release notes and logs."""
        return f"{self.model}{SEPARATOR}{self.version}"


def parse_version_id(text: str) -> VersionId | None:
    """Parse ``model@version``; None when either part is missing."""
    model, separator, version = text.partition(SEPARATOR)
    if not (model and separator and version):
        return None
    return VersionId(model, version)
