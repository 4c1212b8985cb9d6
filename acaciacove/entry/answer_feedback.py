"""Records answers for the quality estimates and offers them for rating."""

from collections.abc import Sequence

from acaciacove.decisions.answer_signal import AnswerSignal
from acaciacove.decisions.rated_class import RatedClass, signal_bin
from acaciacove.entry.answer_chunk import AnswerChunk
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.complete_answer import CompleteAnswer
from acaciacove.entry.entry_state import EntryState
from acaciacove.fleet.api_kind import ApiKind


def compute_signal(head: AnswerHead, end: AnswerEnd) -> float:
    """Return the quality signal of an unrated answer, from 0 to 1."""
    return AnswerSignal(
        status=head.status,
        finish_reason=end.finish_reason,
        completion_tokens=end.completion_tokens,
    ).value()


def record_first_answer(
    request: CallerRequest,
    entry: EntryState,
    end: AnswerEnd,
    signal: float,
    chunks: Sequence[AnswerChunk],
    is_trial: bool,
) -> None:
    """Count a first answer by its signal and offer it for rating."""
    if request.api.kind is not ApiKind.MODEL:
        return
    bin_ = signal_bin(signal)
    entry.router.estimates.record_answer(end.version, request.request_class, bin_)
    rated_class = str(RatedClass(request.request_class, signal_bin=bin_))
    entry.rater.offer(
        request.request_id, end.version, rated_class, _body(chunks), is_trial
    )


def record_escalated_answer(
    request: CallerRequest,
    entry: EntryState,
    first: CompleteAnswer,
    signal: float,
    second: CompleteAnswer,
) -> None:
    """Offer for rating the answer that an escalation gave in place of ``first``."""
    rated_class = RatedClass(
        request.request_class, str(first.end.version), signal_bin(signal)
    )
    entry.rater.offer(
        request.request_id,
        second.end.version,
        str(rated_class),
        _body(second.chunks),
    )


def _body(chunks: Sequence[AnswerChunk]) -> bytes:
    return b"".join(chunk.data for chunk in chunks)
