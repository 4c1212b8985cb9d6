"""Recorded trace of a soak, the input of the checks."""

from collections import defaultdict

from attrs import field, frozen

from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.fault_kind import (
    GATEWAY_FAULTS,
    LOG_FAULTS,
    LOG_LINK_FAULTS,
    FaultKind,
)
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.standins.endpoint_arrival import EndpointArrival

# Rules with a time limit apply to gateways without a fault for at least this long.
SETTLING_S = 3.0


@frozen
class SoakTrace:
    """Calls, arrivals at endpoints, faults and stalls of one run, in loop time.

    ``crashing`` has the bodies of requests that crash the endpoint that runs them.
    ``zone_of`` maps endpoints to zones, ``revoked_s`` keys to the time of their
    revocation. ``recovered_s`` is when all faults were undone and the time allowed
    for recovery had passed.
    """

    calls: list[CallRecord] = field(factory=list)
    arrivals: list[EndpointArrival] = field(factory=list)
    faults: list[InjectedFault] = field(factory=list)
    stalls: list[tuple[float, float]] = field(factory=list)
    zone_of: dict[str, str] = field(factory=dict)
    revoked_s: dict[str, float] = field(factory=dict)
    crashing: frozenset[bytes] = frozenset()
    recovered_s: float = float("inf")
    unexpected_exits: list[str] = field(factory=list)
    fault_log_lines: list[str] = field(factory=list)

    def runs(self) -> dict[str, list[EndpointArrival]]:
        """Return the arrivals that ran, by request id."""
        found: dict[str, list[EndpointArrival]] = defaultdict(list)
        for arrival in self.arrivals:
            if arrival.ran:
                found[arrival.request_id].append(arrival)
        return found

    def by_id(self) -> dict[str, CallRecord]:
        """Return the calls by request id."""
        return {call.request_id: call for call in self.calls}

    def calls_after_recovery(self) -> list[CallRecord]:
        """Return the non-crashing calls with a valid key sent after ``recovered_s``."""
        return [
            call
            for call in self.calls
            if call.sent_s > self.recovered_s
            and call.key not in self.revoked_s
            and not self.crashes_endpoints(call)
        ]

    def crashes_endpoints(self, call: CallRecord) -> bool:
        """Return whether an endpoint that runs the call crashes."""
        return call.sent_body in self.crashing or call.crashing_part is not None

    def first_runs(self) -> set[str]:
        """Return the ids of the requests that ran at their first attempt."""
        began: set[str] = set()
        seen: set[str] = set()
        for arrival in self.arrivals:
            if arrival.request_id not in seen and arrival.ran:
                began.add(arrival.request_id)
            seen.add(arrival.request_id)
        return began

    def is_quiet(
        self, at_s: float, excepted: frozenset[FaultKind] = frozenset()
    ) -> bool:
        """Return whether no fault was active lately, in the fleet or this process."""
        since_s = at_s - SETTLING_S
        faults = [fault for fault in self.faults if fault.kind not in excepted]
        spans = [*self.stalls, *((f.from_s, f.until_s) for f in faults)]
        return not any(a < at_s and b > since_s for a, b in spans)

    def is_unaffected(self, gateway: int, from_s: float, to_s: float) -> bool:
        """Return whether no recent fault affects a gateway, the log or this process.

        A gateway that the log refuses still counts as unaffected if it has a peer
        without a fault, since it receives the updates from that peer.
        """
        since_s = from_s - SETTLING_S
        if any(a < to_s and b > since_s for a, b in self.stalls):
            return False
        faults = [f for f in self.faults if f.from_s < to_s and f.until_s > since_s]
        if any(fault.kind in LOG_FAULTS for fault in faults):
            return False
        affected = {
            f.subject for f in faults if f.kind in GATEWAY_FAULTS | LOG_LINK_FAULTS
        }
        refused = {f.subject for f in faults if f.kind is FaultKind.LOG_TURNS_AWAY}
        if gateway in refused:
            peers = {call.gateway for call in self.calls} - affected - refused
            return gateway not in affected and bool(peers)
        return gateway not in affected
