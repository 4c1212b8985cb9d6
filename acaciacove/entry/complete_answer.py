"""A buffered complete answer."""

from attrs import frozen

from acaciacove.entry.answer_chunk import AnswerChunk
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_head import AnswerHead


@frozen
class CompleteAnswer:
    """All events of one successful attempt."""

    head: AnswerHead
    chunks: tuple[AnswerChunk, ...]
    end: AnswerEnd
