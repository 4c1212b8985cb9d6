"""Decides whether another attempt may follow a failed one."""

from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.progress import Progress
from acaciacove.messages.refused import Refused
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

FINAL_REASONS = frozenset(
    {
        Reason.MALFORMED_REQUEST,
        Reason.NOT_ALLOWED,
        Reason.UNKNOWN_ORGANISATION,
        Reason.DEADLINE_EXCEEDED,
        Reason.KEY_REQUIRED,
        Reason.KEY_EXPIRED,
        Reason.KEY_REUSED,
        Reason.OUTCOME_UNKNOWN,
        Reason.IN_PROGRESS,
        Reason.CANCELLED,
        # The platform's log has failed, and all endpoints share it.
        Reason.CLAIM_UNAVAILABLE,
    }
)


def final_refusal(
    refused: Refused, request: CallerRequest, progress: Progress
) -> Refusal | None:
    """Return the refusal that ends the request, or None if it may be retried."""
    if refused.reason in FINAL_REASONS:
        return as_refusal(refused, progress)
    if request.non_idempotent and not refused.not_run:
        # A call that may have run must not run again: the caller would pay or book
        # twice. The caller learns that the outcome is unknown and can retry with the
        # same key.
        return outcome_unknown(refused)
    return None


def as_refusal(refused: Refused, progress: Progress) -> Refusal:
    """Return the caller's refusal; its "not run" covers all attempts."""
    not_run = refused.not_run and not progress.may_have_run
    reason = Reason(refused.reason)
    return Refusal(reason, not_run, refused.detail, refused.retry_after_s)


def outcome_unknown(refused: Refused) -> Refusal:
    """Return the refusal of a call that may have run and is not repeated."""
    detail = f"the call may have taken effect and is not repeated ({refused.detail})"
    return Refusal(Reason.OUTCOME_UNKNOWN, False, detail)
