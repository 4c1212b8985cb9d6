"""One request of a caller, after it was read and checked."""

from attrs import frozen

from acaciacove.fleet.api import Api
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.header import Header


@frozen
class CallerRequest:
    """What the dispatch needs to know of a request.

    ``deadline_at_s`` is on the event loop's clock. ``explicit`` is the version that
    the caller named instead of an API, ``pinned`` the one its session keeps.
    ``prefix_hash`` stands for the start of the prompt, for cache affinity.
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
    explicit: VersionId | None = None
    idempotency_key: str = ""
    request_class: str = ""
    estimated_tokens: int = 0
    prefix_hash: str = ""

    @property
    def non_idempotent(self) -> bool:
        """Tell whether this call may run at most once."""
        return not self.api.may_repeat(self.method, self.path)
