"""The state of one gateway, passed to the code that serves requests."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from acaciacove.decisions.byte_budget import BUDGET_SHARE
from acaciacove.decisions.confidence_calibration import ConfidenceCalibration
from acaciacove.decisions.connection_shedder import (
    ConnectionShedder,
    max_connections,
)
from acaciacove.decisions.delay_cost import DelayCost
from acaciacove.decisions.prefill_latency import PrefillLatency
from acaciacove.decisions.response_time import ResponseTime
from acaciacove.gateway.choice.choice_settings import ChoiceSettings
from acaciacove.gateway.choice.retry_budget import RetryBudget
from acaciacove.gateway.choice.session_versions import SessionVersions
from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.endpoint_states import EndpointStates
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway_metrics import GatewayMetrics
from acaciacove.gateway.http.dialect import Dialect
from acaciacove.gateway.http.held_bytes import HeldBytes
from acaciacove.gateway.log_era import LogEra
from acaciacove.gateway.log_position import BEFORE_ALL, LogPosition
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.overload_state import OverloadState
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.quarantine.crash_detector import CrashDetector
from acaciacove.gateway.quarantine.request_guard import RequestGuard
from acaciacove.gateway.relay.relay_intervals import RelayIntervals, relay_intervals
from acaciacove.gateway.relay.stream_tail import RELAYED_STREAMS, StreamTail
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress
from acaciacove.gateway.rollout.rollout_settings import RolloutSettings
from acaciacove.gateway.routing_view import RoutingView
from acaciacove.gateway.traffic import Traffic
from acaciacove.messages.work_sent import WorkSent
from acaciacove.settings.gateway_settings import GatewaySettings

# The share of the allowed retries that is used. Requests are counted by the callers'
# clocks, not by the clock of this process.
RETRY_MARGIN = 0.9
# API keys are honoured for some time without a confirmation of the decisions. The view
# must be confirmed within this share of it: the rest is enough for two calls, one of
# which meets a silent connection.
REVOCATION_SHARE = 0.4
# The number of gateways assumed to share the limits until the members have been read.
# After a loss of all processes, each gateway would otherwise use the full limits, and
# together they would exceed them in the first tenth of a second.
ASSUMED_GATEWAYS = 64


# The window over which this gateway's rate of requests is measured.
SEND_RATE_WINDOW_S = 2.0


GossipWork = Callable[[WorkSent, float], None]
GossipLimit = Callable[[EndpointState], None]


def no_work_gossip(sent: WorkSent, now_s: float) -> None:
    """Default until gossip with the other gateways has started."""


def no_limit_gossip(state: EndpointState) -> None:
    """Default until gossip with the other gateways has started."""


def _relayed_tails() -> dict[LogStream, StreamTail]:
    return {stream: StreamTail() for stream in RELAYED_STREAMS}


@define(eq=False)
class Gateway:
    """The view, limits and other state of one process.

    ``held`` is the budget of bytes held for callers and endpoints.
    ``members`` are the other gateways that are or may be alive. ``members_loaded`` is
    set once their list has been read. ``tails`` hold the records that are relayed to
    them. ``gossip_work`` sends them an update on a prompt that has just been sent,
    ``gossip_limit`` one on a limit that an endpoint states. The process serves since
    ``started_s``. The last postponed escalation was sent at ``last_release_s``.

    This gateway has read the outcomes of roll-outs up to ``outcomes_read``, the last
    new ones at ``outcomes_changed_s``. Some other gateway has read them up to
    ``peer_outcomes_read``. ``era`` is the newest history of the log.
    """

    settings: GatewaySettings
    dialect: Dialect
    view: RoutingView
    log: EventLog
    metrics: GatewayMetrics = field(factory=GatewayMetrics)
    states: EndpointStates = field(factory=EndpointStates)
    held: HeldBytes = field(factory=HeldBytes)
    choice: ChoiceSettings = field(factory=ChoiceSettings)
    random: Random = field(factory=Random)
    budgets: dict[str, RetryBudget] = field(factory=dict)
    traffic: Traffic = field(factory=Traffic)
    send_counts: dict[str, SlidingWindowCounter] = field(factory=dict)
    confidence: dict[str, ConfidenceCalibration] = field(factory=dict)
    prefill_latencies: dict[tuple[str, str | None], PrefillLatency] = field(
        factory=dict
    )
    response_times: dict[tuple[str, str], ResponseTime] = field(factory=dict)
    delay_costs: dict[str, DelayCost] = field(factory=dict)
    overloads: dict[str, OverloadState] = field(factory=dict)
    rollouts: dict[str, RolloutProgress] = field(factory=dict)
    members: dict[str, Peer] = field(factory=dict)
    members_loaded: bool = False
    tails: dict[LogStream, StreamTail] = field(factory=_relayed_tails)
    outcomes_read: LogPosition = BEFORE_ALL
    peer_outcomes_read: LogPosition = BEFORE_ALL
    outcomes_changed_s: float = -1e9
    gossip_work: GossipWork = no_work_gossip
    gossip_limit: GossipLimit = no_limit_gossip
    shutting_down: bool = False
    started_s: float = float("-inf")
    last_release_s: float = float("-inf")
    _last_exchange_number: int = 0
    _peers: frozenset[str] = frozenset()
    _peers_source: dict[str, Peer] | None = None
    sessions: SessionVersions = field(init=False)
    guard: RequestGuard = field(init=False)
    shedder: ConnectionShedder = field(factory=ConnectionShedder)
    crash_detector: CrashDetector = field(init=False)
    era: LogEra = field(init=False)
    rollout_settings: RolloutSettings = field(init=False)
    relay_intervals: RelayIntervals = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create what depends on the settings."""
        self.era = LogEra(self.log)
        self.sessions = SessionVersions(self.settings.session_life_s)
        self.guard = RequestGuard(self.log, random=self.random)
        self.crash_detector = CrashDetector(
            self.log, self.metrics, self.guard.record_crash, self.guard.release_trials
        )
        self.apply_settings(self.settings)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply new limits from now on; earlier requests remain counted."""
        self.settings = settings
        self.shedder.max_connections = max_connections(settings.descriptor_limit)
        self.held.budget.limit_bytes = int(BUDGET_SHARE * settings.memory_limit_bytes)
        self.sessions.lifetime_s = settings.session_life_s
        confirm_s = REVOCATION_SHARE * settings.revocation_s
        self.relay_intervals = relay_intervals(
            min(settings.propagation_s, confirm_s), settings.drain_s
        )
        self.rollout_settings = RolloutSettings(
            exposure_share=settings.exposure_share,
            exposure_extra=settings.exposure_extra,
        )
        for budget in self.budgets.values():
            budget.set_bounds(*self._retry_bounds())

    def _retry_bounds(self) -> tuple[float, float]:
        return (
            RETRY_MARGIN * self.settings.retry_ratio,
            RETRY_MARGIN * self.settings.retry_extra,
        )

    @property
    def peers(self) -> frozenset[str]:
        """Names of the other gateways that are or may be alive.

        The same object is returned until the names change.
        """
        if self._peers_source is not self.members:
            names = frozenset(self.members)
            if names != self._peers:
                self._peers = names
            self._peers_source = self.members
        return self._peers

    @property
    def gateway_count(self) -> int:
        """The number of gateways that share the limits."""
        known = len(self.peers) + (self.settings.name not in self.peers)
        return known if self.members_loaded else max(known, ASSUMED_GATEWAYS)

    def rank(self) -> int:
        """Return the place of this gateway among all, for turns without a message."""
        return sorted({self.settings.name, *self.peers}).index(self.settings.name)

    def next_exchange_number(self) -> int:
        """Return a number that is unique among the exchanges of this process."""
        self._last_exchange_number += 1
        return self._last_exchange_number

    def confidences(self, service: str) -> ConfidenceCalibration:
        """Return the calibration of the confidence that a service's models report."""
        return self.confidence.setdefault(service, ConfidenceCalibration())

    def delay_cost(self, service: str) -> DelayCost:
        """Return the cost of additional waiting for requests of a service."""
        return self.delay_costs.setdefault(service, DelayCost())

    def overload(self, service: str) -> OverloadState:
        """Return what overload control knows of a service."""
        return self.overloads.setdefault(service, OverloadState())

    def record_sent(self, service: str, now_s: float) -> None:
        """Count one request that is sent to an endpoint of a service."""
        self.send_counts.setdefault(
            service, SlidingWindowCounter(SEND_RATE_WINDOW_S)
        ).add(now_s)

    def sent_per_s(self, service: str, now_s: float) -> float:
        """Return the current rate of requests from this gateway to a service."""
        count = self.send_counts.get(service)
        return count.total(now_s) / SEND_RATE_WINDOW_S if count else 0.0

    def prefill_latency(self, service: str, model: str | None) -> PrefillLatency:
        """Return the prefill latency of a service's model."""
        return self.prefill_latencies.setdefault((service, model), PrefillLatency())

    def response_time(self, service: str, kind: str) -> ResponseTime:
        """Return the usual time of a service's responses for a model or route."""
        return self.response_times.setdefault((service, kind), ResponseTime())

    def has_retry_budget(self, service: str, now_s: float) -> bool:
        """Return whether one more retry or escalation may be sent for a service."""
        return self.budget(service).remaining(now_s, self.gateway_count) >= 1.0

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(
                *self._retry_bounds(), self.settings.retry_window_s, self.started_s
            )
        return self.budgets[service]
