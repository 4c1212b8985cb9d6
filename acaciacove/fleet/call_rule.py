"""Rules for the non-idempotent calls of a plain service."""

from attrs import frozen


@frozen
class CallRule:
    """Calls with this method under this path prefix are non-idempotent."""

    method: str
    path_prefix: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether this rule matches a call."""
        return method.upper() == self.method and path.startswith(self.path_prefix)
