"""The union of events of an answer; a Refusal ends one that cannot be whole."""

from acaciacove.entry.answer_chunk import AnswerChunk
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.refusal import Refusal

AnswerEvent = AnswerHead | AnswerChunk | AnswerEnd | Refusal
