"""The result of folding one record."""

from attrs import frozen

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.state.verdict import Verdict


@frozen
class FoldResult:
    """The state after a record, and whether the record changed it."""

    state: FleetState
    verdict: Verdict
    detail: str = ""
