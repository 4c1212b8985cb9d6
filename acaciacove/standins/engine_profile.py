"""How fast an engine stand-in is and what it bears."""

from attrs import frozen


@frozen
class EngineProfile:
    """Times of one engine.

    A token takes ``token_s`` and ``token_per_peer_s`` more for every other request
    in the batch; prefill takes ``prefill_token_s`` a token that is not cached.
    While cold, an engine that is given more than ``cold_bears`` requests at once
    falls over: it loses all of them and is cold for ``warm_up_s`` anew. At most
    ``max_batch`` requests run at once, the rest wait by priority, lowest first.
    ``refuses_old_fences`` tells whether it minds the fencing number of orders.
    """

    token_s: float = 0.0
    token_per_peer_s: float = 0.0
    prefill_token_s: float = 0.0
    max_batch: int = 64
    cold_bears: int = 4
    warm_up_s: float = 0.0
    cache_blocks: int = 4096
    load_lag_s: float = 0.0
    load_version_s: float = 0.0
    refuses_old_fences: bool = True
