"""Endpoint that was chosen for one attempt."""

from attrs import frozen

from acaciacove.decisions.decision import Decision
from acaciacove.fleet.instance import Instance


@frozen
class EndpointDecision:
    """The endpoint, and the expected seconds until its answer is complete."""

    endpoint: Instance
    expected_s: float
    decision: Decision
