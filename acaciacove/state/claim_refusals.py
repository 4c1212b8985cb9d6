"""Refusals of calls that may not be repeated."""

from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

RETRY_AFTER_S = 1.0


def claim_unavailable(detail: str) -> Refusal:
    """Refuse since the claim could not be made in time; the call was not run."""
    return Refusal(Reason.CLAIM_UNAVAILABLE, True, detail, RETRY_AFTER_S)


def outcome_unknown(detail: str) -> Refusal:
    """Refuse since the call may have run, and is not repeated."""
    return Refusal(Reason.OUTCOME_UNKNOWN, False, detail)


def answer_not_retained() -> Refusal:
    """Refuse since the call has finished and its answer is gone."""
    return outcome_unknown("the call has finished; its answer is no longer kept")


def in_progress() -> Refusal:
    """Refuse since an earlier attempt with the key is not settled."""
    detail = "an earlier attempt with this key is still running"
    return Refusal(Reason.IN_PROGRESS, False, detail, RETRY_AFTER_S)


def key_reused() -> Refusal:
    """Refuse a key that another request has."""
    return Refusal(Reason.KEY_REUSED, True, "the key was used for another request")


def key_expired(detail: str) -> Refusal:
    """Refuse a key whose call may have been run and forgotten."""
    return Refusal(Reason.KEY_EXPIRED, False, detail)
