"""What a gateway keeps for one life of an endpoint."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from acaciacove.decisions.endpoint_backlog import EndpointBacklog
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.cold_limiter import ColdLimiter
from acaciacove.gateway.choice.endpoint_health import EndpointHealth
from acaciacove.gateway.choice.endpoint_load import EndpointLoad
from acaciacove.gateway.choice.limit_share import LimitShare
from acaciacove.gateway.choice.stable_hash import stable_hash
from acaciacove.gateway.choice.stated_limit import StatedLimit
from acaciacove.gateway.http.connection_pool import ConnectionPool

# Prompt parts that one gateway believes to be in an endpoint's memory; parts
# that nobody has sent there lately are likely gone.
MAX_CACHED_PARTS = 512


@define(eq=False)
class EndpointState:
    """Connections, load, queue, health and probable cache of an endpoint.

    ``crashed`` is set once this life of it is known to have ended without a word.
    ``instance_hash`` stands for it where all gateways are to prefer the same endpoint.
    """

    endpoint: Endpoint
    pool: ConnectionPool
    load: EndpointLoad = field(factory=EndpointLoad)
    backlog: EndpointBacklog = field(factory=EndpointBacklog)
    health: EndpointHealth = field(factory=EndpointHealth)
    cold_limiter: ColdLimiter = field(factory=ColdLimiter)
    stated_limit: StatedLimit = field(factory=StatedLimit)
    limit_share: LimitShare = field(factory=LimitShare)
    cached_parts: OrderedDict[int, None] = field(factory=OrderedDict)
    crashed: bool = False
    instance_hash: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Work out the rank once."""
        self.instance_hash = int.from_bytes(stable_hash(self.endpoint.instance))

    def record_cached(self, keys: Iterable[int]) -> None:
        """Note by their keys that shared parts have just been read."""
        for key in keys:
            self.cached_parts.pop(key, None)
            self.cached_parts[key] = None
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    def is_cached(self, key: int) -> bool:
        """Tell whether a part is probably in the endpoint's memory."""
        return key in self.cached_parts
