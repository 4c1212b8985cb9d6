"""The result of folding one record."""

from attrs import frozen

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.state.verdict import Verdict


@frozen
class FoldResult:
    """The fleet state after a record, and why the record did or did not change it."""

    state: FleetState
    verdict: Verdict
    detail: str = ""
