"""One route of the catalogue."""

from attrs import frozen

from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.catalogue.service_share import ServiceShare


@frozen
class Route:
    """Requests to ``host`` whose path begins with ``path_prefix``.

    ``timeout_s`` limits the time to the complete response. ``latency_target_s`` is the
    time to the first chunk within which a response is worth most. ``max_attempts``
    limits the endpoints that one request may be sent to. ``priority`` 0 is the most
    urgent. ``model_sizes`` lists the models among which the gateway chooses, from small
    to large; it is empty when the caller names the model. An empty ``allowed_regions``
    means any region.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    repetition: Repetition
    timeout_s: float
    latency_target_s: float
    max_attempts: int
    priority: int = 0
    anonymous: bool = False
    session_affinity: bool = False
    resumable: bool = False
    model_sizes: tuple[str, ...] = ()
    allowed_regions: frozenset[str] = frozenset()

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run again after it may have run."""
        if self.repetition is Repetition.STREAMING:
            return self.resumable
        return self.repetition is Repetition.REPEATABLE
