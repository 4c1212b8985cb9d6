"""Settings of the admission queue."""

from attrs import frozen


@frozen
class AdmissionSettings:
    """Settings of queuing and early refusal at one endpoint.

    Capacity: ``max_queue`` is the maximum number of waiting requests. While both kinds
    of work wait, batch work gets ``batch_share`` of the tokens.

    Fairness: ``reserved_share`` of the slots is reserved for interactive work of
    organisations that run less than their share. Up to ``slack`` times its share
    still counts as within the share. An organisation that used less than its share
    may burst by the amount that its share yields in ``credit_s``. An organisation
    counts as active until ``active_s`` after its last request.

    Time: ``token_s`` is the initial time per token, and ``smoothing`` the weight of a
    new sample. Waits and run times are estimated only after ``min_samples`` requests;
    ``wait_margin`` multiplies the estimated wait. An item waits for at most
    ``max_wait_share`` of the time to its deadline, checked every ``look_every_s``.
    ``min_retry_after_s`` is the minimum ``retry_after_s`` of a refusal.
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
