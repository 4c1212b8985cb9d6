"""Performance and capacity of an engine stand-in."""

from attrs import frozen


@frozen
class EngineProfile:
    """Performance and capacity of one engine.

    A token takes ``token_s`` and ``token_per_peer_s`` more for every other request
    in the batch. Prefill takes ``prefill_token_s`` per token that is not cached.
    A cold engine with more than ``cold_bears`` concurrent requests crashes: it loses
    all of them and is cold for another ``warm_up_s``. At most ``max_batch`` requests
    run at once. The others queue by priority, lowest number first.

    ``load_lag_s`` is the age of the reported load, ``load_version_s`` the time to
    load a version. With ``refuses_old_fences`` the engine refuses orders whose
    fencing token is older than the newest it has seen.
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
