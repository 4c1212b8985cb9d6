"""Which calls of a plain service may not be repeated."""

from attrs import frozen


@frozen
class CallRule:
    """Calls with this method under this path prefix are non-idempotent."""

    method: str
    path_prefix: str

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a call falls under this rule."""
        return method.upper() == self.method and path.startswith(self.path_prefix)
