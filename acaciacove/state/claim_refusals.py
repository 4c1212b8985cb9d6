"""Refusals of non-repeatable calls."""

from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

RETRY_AFTER_S = 1.0


def claim_unavailable(detail: str) -> Refusal:
    """Refuse because the key could not be claimed in time; the call was not run."""
    return Refusal(Reason.CLAIM_UNAVAILABLE, True, detail, RETRY_AFTER_S)


def outcome_unknown(detail: str) -> Refusal:
    """Refuse because the call may have run and must not be repeated."""
    return Refusal(Reason.OUTCOME_UNKNOWN, False, detail)


def answer_not_retained() -> Refusal:
    """Refuse because the call has completed and its answer is no longer stored."""
    return outcome_unknown("the call has finished; its answer is no longer kept")


def in_progress() -> Refusal:
    """Refuse because an earlier attempt with the key has no outcome yet."""
    detail = "an earlier attempt with this key is still running"
    return Refusal(Reason.IN_PROGRESS, False, detail, RETRY_AFTER_S)


def key_reused() -> Refusal:
    """Refuse a key that was used for another request."""
    return Refusal(Reason.KEY_REUSED, True, "the key was used for another request")


def key_expired(detail: str) -> Refusal:
    """Refuse a key whose call may have run and may no longer be recorded."""
    return Refusal(Reason.KEY_EXPIRED, False, detail)
