"""What an entry learns from the answers that it relays."""

from collections.abc import Sequence

from acaciacove.decisions.answer_signal import AnswerSignal
from acaciacove.decisions.rated_class import RatedClass, signal_bin
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.answer_piece import AnswerPiece
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.whole_answer import WholeAnswer
from acaciacove.fleet.api_kind import ApiKind


def signal_of(head: AnswerHead, end: AnswerEnd) -> float:
    """Sum up how good an answer looks before anyone has rated it, from 0 to 1."""
    return AnswerSignal(
        status=head.status,
        finish_reason=end.finish_reason,
        completion_tokens=end.completion_tokens,
    ).value()


def learn_from(
    request: CallerRequest,
    entry: EntryState,
    end: AnswerEnd,
    signal: float,
    pieces: Sequence[AnswerPiece],
    is_trial: bool,
) -> None:
    """Count a first answer by its signal, and have a sample of them rated."""
    if request.api.kind is not ApiKind.MODEL:
        return
    bin_ = signal_bin(signal)
    entry.router.estimates.record_answer(end.version, request.request_class, bin_)
    rated_class = str(RatedClass(request.request_class, signal_bin=bin_))
    entry.rater.offer(
        request.request_id, end.version, rated_class, _body(pieces), is_trial
    )


def learn_from_second(
    request: CallerRequest,
    entry: EntryState,
    first: WholeAnswer,
    signal: float,
    second: WholeAnswer,
) -> None:
    """Have the answer rated that took the place of one judged short."""
    rated_class = RatedClass(
        request.request_class, str(first.end.version), signal_bin(signal)
    )
    entry.rater.offer(
        request.request_id,
        second.end.version,
        str(rated_class),
        _body(second.pieces),
    )


def _body(pieces: Sequence[AnswerPiece]) -> bytes:
    return b"".join(piece.data for piece in pieces)
