"""State that a gateway keeps for one incarnation of an endpoint."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from acaciacove.decisions.endpoint_backlog import EndpointBacklog
from acaciacove.decisions.endpoint_pace import EndpointPace
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.cold_limiter import ColdLimiter
from acaciacove.gateway.choice.endpoint_health import EndpointHealth
from acaciacove.gateway.choice.endpoint_load import EndpointLoad
from acaciacove.gateway.choice.limit_share import LimitShare
from acaciacove.gateway.choice.stable_hash import stable_hash
from acaciacove.gateway.choice.stated_limit import StatedLimit
from acaciacove.gateway.http.connection_pool import ConnectionPool

# Prompt parts that one gateway assumes to be cached at an endpoint. Parts that nobody
# has sent there lately have probably been evicted.
MAX_CACHED_PARTS = 512


@define(eq=False)
class EndpointState:
    """Connections, load, backlog, pace, health and probable cache of an endpoint.

    ``crashed`` is set once this incarnation is known to have ended without
    deregistering. ``body_bytes`` is the size of this gateway's request bodies in flight
    there. ``instance_hash`` ranks it where all gateways must prefer the same endpoint.
    """

    endpoint: Endpoint
    pool: ConnectionPool
    load: EndpointLoad = field(factory=EndpointLoad)
    backlog: EndpointBacklog = field(factory=EndpointBacklog)
    pace: EndpointPace = field(factory=EndpointPace)
    health: EndpointHealth = field(factory=EndpointHealth)
    cold_limiter: ColdLimiter = field(factory=ColdLimiter)
    stated_limit: StatedLimit = field(factory=StatedLimit)
    limit_share: LimitShare = field(factory=LimitShare)
    cached_parts: OrderedDict[int, None] = field(factory=OrderedDict)
    crashed: bool = False
    body_bytes: int = 0
    instance_hash: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the hash of the instance name once."""
        self.instance_hash = int.from_bytes(stable_hash(self.endpoint.instance))

    def record_cached(self, keys: Iterable[int]) -> None:
        """Record that the endpoint has just processed the parts with these keys."""
        for key in keys:
            self.cached_parts.pop(key, None)
            self.cached_parts[key] = None
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    def is_cached(self, key: int) -> bool:
        """Return whether a part is probably in the endpoint's cache."""
        return key in self.cached_parts
