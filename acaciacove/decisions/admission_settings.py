"""Settings of the admission queue."""

from attrs import frozen


@frozen
class AdmissionSettings:
    """How work waits.

    ``max_queue`` counts waiting requests. ``batch_share`` of the tokens goes to
    batch work while both kinds wait. ``reserved_share`` of the slots is kept for
    interactive work of organisations that run less than their share; an
    organisation that used less than its share may burst by what its share brings in
    ``credit_s``; holding ``slack`` times its share still counts as its share. It
    counts for the shares until ``active_s`` after its last request.
    ``token_s`` is the first guess of the time per token; deadlines are judged only
    by what ``min_samples`` requests have taught, with ``wait_margin`` on the wait.
    An item waits for ``max_wait_share`` of the time to its deadline at most; that is
    looked at every ``look_every_s``.
    """

    max_queue: int = 256
    batch_share: float = 0.1
    reserved_share: float = 0.2
    credit_s: float = 60.0
    slack: float = 1.5
    active_s: float = 30.0
    token_s: float = 0.02
    smoothing: float = 0.05
    min_samples: int = 8
    wait_margin: float = 1.5
    max_wait_share: float = 0.5
    look_every_s: float = 0.1
    min_retry_after_s: float = 0.1
