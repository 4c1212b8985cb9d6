"""The union of answer events; a Refusal ends an answer that is not complete."""

from acaciacove.entry.answer_chunk import AnswerChunk
from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.answer_head import AnswerHead
from acaciacove.refusal import Refusal

AnswerEvent = AnswerHead | AnswerChunk | AnswerEnd | Refusal
