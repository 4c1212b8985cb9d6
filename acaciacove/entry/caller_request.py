"""A parsed and validated request of a caller."""

from attrs import frozen

from acaciacove.fleet.api import Api
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.header import Header


@frozen
class CallerRequest:
    """Fields of a request that the dispatch needs.

    ``deadline_at_s`` is on the event loop's clock. ``requested_version`` is the
    version that the caller named instead of an API. ``pinned`` is the version that
    the request's session is bound to. ``prefix_hash`` identifies the start of the
    prompt, for cache affinity.
    """

    request_id: str
    organisation: Organisation
    api: Api
    deadline_at_s: float
    method: str = "POST"
    path: str = "/"
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    stream: bool = False
    batch: bool = False
    session: str = ""
    pinned: VersionId | None = None
    requested_version: VersionId | None = None
    idempotency_key: str = ""
    request_class: str = ""
    estimated_tokens: int = 0
    prefix_hash: str = ""

    @property
    def non_idempotent(self) -> bool:
        """Return whether this call may run at most once."""
        return not self.api.may_repeat(self.method, self.path)
