"""Partition of the claims that this process reads."""

from attrs import frozen

from acaciacove.state.claim_table import ClaimTable
from acaciacove.state.log_tail import LogTail


@frozen
class ClaimPartition:
    """Table of a partition and the log tail that updates it."""

    table: ClaimTable
    tail: LogTail
