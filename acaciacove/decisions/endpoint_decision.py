"""The choice of an endpoint for one attempt."""

from attrs import frozen

from acaciacove.decisions.decision import Decision
from acaciacove.fleet.instance import Instance


@frozen
class EndpointDecision:
    """The endpoint, and the seconds expected until its answer is whole."""

    endpoint: Instance
    expected_s: float
    decision: Decision
