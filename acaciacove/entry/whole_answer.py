"""An answer held back until it is whole."""

from attrs import frozen

from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.entry.answer_piece import AnswerPiece


@frozen
class WholeAnswer:
    """All events of one attempt that went well."""

    head: AnswerHead
    pieces: tuple[AnswerPiece, ...]
    end: AnswerEnd
