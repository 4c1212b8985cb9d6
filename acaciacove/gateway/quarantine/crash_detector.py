"""Distinguishes endpoint crashes from broken connections."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence

from attrs import define, field

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway_metrics import GatewayMetrics
from acaciacove.gateway.http.errors import ConnectFailedError, ConnectRefusedError
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.quarantine.request_fingerprint import format_fingerprint

# The requests of one crash are lost within milliseconds of each other.
GATHER_WINDOW_S = 0.02
# A host that does not answer within this time is unreachable, which proves no crash.
CHECK_TIMEOUT_S = 0.4
# A request that was abandoned this long before a crash may have caused it: an endpoint
# does not always notice that nobody waits for the answer any more.
ABANDONED_S = 0.5
MAX_ABANDONED = 64
# Fingerprints in the log line of one crash.
MAX_LOGGED_FINGERPRINTS = 16

OnCrash = Callable[[Endpoint, list[int], float], None]
OnCut = Callable[[list[int], float], None]


@define(eq=False)
class CrashDetector:
    """Opens a test connection to an endpoint after requests to it were lost.

    If the process has ended, the connection is refused. A reset by the network leaves
    the endpoint listening, so the connection succeeds. ``on_crash`` receives the keys
    of the requests that this gateway lost, ``on_cut`` those of requests that were cut
    off without a crash. The first key of a request is its fingerprint. Requests that
    are lost more than ``GATHER_WINDOW_S`` apart are reported in several calls.
    """

    log: EventLog
    metrics: GatewayMetrics
    on_crash: OnCrash
    on_cut: OnCut
    _lost: dict[EndpointState, list[Sequence[int]]] = field(factory=dict)
    _abandoned: dict[EndpointState, deque[tuple[float, Sequence[int]]]] = field(
        factory=dict
    )
    _checks: set[asyncio.Task[None]] = field(factory=set)

    def record_lost_request(self, state: EndpointState, keys: Sequence[int]) -> None:
        """Record a request whose connection broke while it may have been running."""
        lost = self._lost.get(state)
        if lost is not None:
            lost.append(keys)
            return
        self._lost[state] = [keys]
        check = asyncio.create_task(self._check(state))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def record_abandoned_request(
        self, state: EndpointState, keys: Sequence[int]
    ) -> None:
        """Record a request that may be running, and that nobody waits for any more."""
        now_s = asyncio.get_running_loop().time()
        abandoned = self._abandoned.setdefault(state, deque(maxlen=MAX_ABANDONED))
        abandoned.append((now_s, keys))
        for other in [s for s, each in self._abandoned.items() if _is_old(each, now_s)]:
            del self._abandoned[other]

    def _abandoned_at(self, state: EndpointState, now_s: float) -> list[Sequence[int]]:
        abandoned = self._abandoned.pop(state, ())
        return [keys for at_s, keys in abandoned if now_s - at_s <= ABANDONED_S]

    async def _check(self, state: EndpointState) -> None:
        try:
            await asyncio.sleep(GATHER_WINDOW_S)
            if not state.crashed and await self._refuses_connections(state):
                state.crashed = True
                self.metrics.count(Metric.ENDPOINT_CRASHES)
        finally:
            lost = self._lost.pop(state)
        endpoint = state.endpoint.instance
        now_s = asyncio.get_running_loop().time()
        if state.crashed:
            lost += self._abandoned_at(state, now_s)
        keys = list(dict.fromkeys(key for request in lost for key in request))
        if not state.crashed:
            self.log.write(Event.REQUESTS_CUT, endpoint=endpoint, lost=len(lost))
            self.on_cut(keys, now_s)
            return
        self.log.write(
            Event.ENDPOINT_CRASHED,
            endpoint=endpoint,
            lost=len(lost),
            fingerprints=[
                format_fingerprint(request[0])
                for request in lost[:MAX_LOGGED_FINGERPRINTS]
            ],
        )
        self.on_crash(state.endpoint, keys, now_s)

    async def _refuses_connections(self, state: EndpointState) -> bool:
        try:
            await state.pool.check_connect(CHECK_TIMEOUT_S)
        except ConnectRefusedError:
            return True
        except ConnectFailedError as error:
            self.log.write(
                Event.CRASH_UNCERTAIN,
                endpoint=state.endpoint.instance,
                detail=str(error),
            )
        return False


def _is_old(abandoned: deque[tuple[float, Sequence[int]]], now_s: float) -> bool:
    at_s, _ = abandoned[-1]
    return now_s - at_s > ABANDONED_S
