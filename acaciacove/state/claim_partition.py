"""One partition of the claims as this process follows it."""

from attrs import frozen

from acaciacove.state.claim_table import ClaimTable
from acaciacove.state.log_tail import LogTail


@frozen
class ClaimPartition:
    """A partition's table and the tail that feeds it."""

    table: ClaimTable
    tail: LogTail
