"""Union of all messages between processes."""

from acaciacove.messages.billed import Billed
from acaciacove.messages.cancel import Cancel
from acaciacove.messages.chunk import Chunk
from acaciacove.messages.claim_answer import ClaimAnswer
from acaciacove.messages.claim_query import ClaimQuery
from acaciacove.messages.digest import Digest
from acaciacove.messages.end import End
from acaciacove.messages.evidence import Evidence
from acaciacove.messages.gateway_report import GatewayReport
from acaciacove.messages.head import Head
from acaciacove.messages.hello import Hello
from acaciacove.messages.limit_news import LimitNews
from acaciacove.messages.load import Load
from acaciacove.messages.log_ask import LogAsk
from acaciacove.messages.log_told import LogTold
from acaciacove.messages.pull import Pull
from acaciacove.messages.records import Records
from acaciacove.messages.refused import Refused
from acaciacove.messages.request_news import RequestNews
from acaciacove.messages.run import Run
from acaciacove.messages.work_sent import WorkSent

Message = (
    Hello
    | Run
    | Head
    | Chunk
    | End
    | Refused
    | Cancel
    | Load
    | Digest
    | Pull
    | Records
    | ClaimQuery
    | ClaimAnswer
    | Billed
    | Evidence
    | GatewayReport
    | LogAsk
    | LogTold
    | WorkSent
    | RequestNews
    | LimitNews
)
