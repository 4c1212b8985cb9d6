"""Decides which requests are refused while a service is overloaded.

Answers bursts of long prompts, the surge of one organisation, callers that retry at
once or leave, and the loss of endpoints. The level follows the queueing time, as in
"Overload Control for Scaling WeChat Microservices" (DAGOR, 2018), by a proportional and
an integral part, as in PIE (RFC 8033).
"""

from collections.abc import Sequence
from math import ceil, exp, log

from attrs import define, field

from acaciacove.decisions.admission_request import AdmissionRequest
from acaciacove.decisions.minimum_share import KEY_SHARE, MinimumShare, key_position
from acaciacove.decisions.refused_requests import RefusedRequests
from acaciacove.decisions.token_shares import TokenShares
from acaciacove.decisions.usual_rate import UsualRate

ADJUST_EVERY_S = 0.1
# The limit of waits, as a share of the tightest latency target in use. The rest is for
# the request's own prompt and for what the waits vary by.
WAIT_SHARE = 1.0 / 3.0
# The same where larger models can give way. They are most of the work, and are asked
# less while waits are shorter; refusing a first request as well would serve fewer.
LARGER_MODELS_WAIT_SHARE = 1.0
# The part of the arriving work that is admitted is exp(-pressure). Each second of wait
# beyond the limit adds this to the pressure, at once and for each second that it lasts.
PROPORTIONAL_PER_S = 6.0
INTEGRAL_PER_S2 = 4.0
# Fall of the integral part per second where nothing waits, which ends refusals within a
# second. Near the limit it falls by the gain above, since a faster fall there makes the
# waits oscillate.
IDLE_FALL_PER_S = 4.0
IDLE_FALL_EXPONENT = 3.0
# The minimum shares admit more than this in any case.
MIN_ADMITTED_SHARE = 0.02
# The integral part exceeds what reduces the arriving work to that admitted lately by at
# most this. Without the bound, requests are refused for seconds after a short surge.
INTEGRAL_MARGIN = 0.5
MAX_INTEGRAL = -log(MIN_ADMITTED_SHARE)
# Time constant within which the order of the arriving work is known. With 1 s, six
# gateways that shared a service's requests let urgent ones wait longer: each of them
# knew too few arrivals.
ARRIVALS_S = 2.5
MIN_BUCKET_TOKENS = 1e-3
# Without observations for this long, for example after the process was frozen, all
# requests are admitted.
MAX_GAP_S = 3.0
# Within one priority, requests are ordered by the remaining share of their route's time
# in this many steps.
TIME_STEPS = 10
LEVELS = 10
# The least part of the capacity that is assumed to be free for callers that return.
MIN_FREE_SHARE = 0.1

# Priority, whether the organisation is above its fair share, step of remaining time.
Rank = tuple[int, bool, int]


@define
class AdmissionLevel:
    """The admission of one service's requests by one gateway.

    ``admitted_share`` is the part of the arriving work that is admitted, in the order
    of admission. ``wait_s`` and ``limit_s`` are those of the last adjustment. Tokens
    are shared among organisations by ``shares``.
    """

    admitted_share: float = 1.0
    wait_s: float = 0.0
    limit_s: float = 0.0
    shares: TokenShares = field(factory=TokenShares)
    refused: RefusedRequests = field(factory=RefusedRequests)
    minimum_share: MinimumShare = field(factory=MinimumShare)
    usual_rate: UsualRate = field(factory=UsualRate)
    _integral: float = 0.0
    _adjusted_at_s: float = float("-inf")
    _arrivals: dict[Rank, float] = field(factory=dict)
    _cut: Rank | None = None
    _cut_share: float = 1.0

    @property
    def level(self) -> int:
        """The tenths of the arriving work that are refused, rounded up; 0 is none."""
        return ceil(LEVELS * (1.0 - self.admitted_share))

    @property
    def free_per_s(self) -> float:
        """Tokens per second that new requests usually leave free, under overload."""
        capacity_per_s = self.shares.admitted_per_s
        usual_per_s = self.usual_rate.tokens_per_s
        return max(capacity_per_s - usual_per_s, MIN_FREE_SHARE * capacity_per_s)

    def level_at(self, now_s: float) -> int:
        """Return the level, 0 if it has not been adjusted for ``MAX_GAP_S``."""
        return self.level if now_s - self._adjusted_at_s <= MAX_GAP_S else 0

    def is_due(self, now_s: float) -> bool:
        """Return whether the level is to be adjusted."""
        return now_s - self._adjusted_at_s >= ADJUST_EVERY_S

    def adjust(
        self,
        wait_s: float | None,
        targets_s: Sequence[float],
        now_s: float,
        has_larger_models: bool = False,
    ) -> None:
        """Adjust the level to the observed wait, None where there is none.

        ``targets_s`` are the latency targets of the routes in use.
        ``has_larger_models`` says that larger models can give way first.
        """
        elapsed_s = now_s - self._adjusted_at_s
        self._adjusted_at_s = now_s
        self.wait_s = wait_s or 0.0
        share = LARGER_MODELS_WAIT_SHARE if has_larger_models else WAIT_SHARE
        self.limit_s = share * min(targets_s, default=0.0)
        if wait_s is None or not targets_s or elapsed_s > MAX_GAP_S:
            self._integral = pressure = 0.0
        else:
            excess_s = wait_s - self.limit_s
            rise_per_s = INTEGRAL_PER_S2 * excess_s
            if excess_s < 0.0:
                unused_share = -excess_s / self.limit_s
                fall_per_s = IDLE_FALL_PER_S * unused_share**IDLE_FALL_EXPONENT
                rise_per_s = min(rise_per_s, -fall_per_s)
            integral = self._integral + elapsed_s * rise_per_s
            self._integral = max(0.0, min(self._max_integral(), integral))
            pressure = self._integral + PROPORTIONAL_PER_S * max(0.0, excess_s)
        self.admitted_share = max(MIN_ADMITTED_SHARE, exp(-pressure))
        self.shares.update(now_s)
        self.refused.remove_due(now_s)
        self.usual_rate.fade(elapsed_s)
        self._fade_arrivals(elapsed_s)
        self._place_cut()

    def _max_integral(self) -> float:
        """Return the integral part beyond which work is refused for no reason."""
        offered_per_s = sum(self._arrivals.values()) / ARRIVALS_S
        admitted_per_s = self.shares.admitted_per_s
        if offered_per_s <= admitted_per_s or admitted_per_s <= 0.0:
            return INTEGRAL_MARGIN
        return min(MAX_INTEGRAL, log(offered_per_s / admitted_per_s) + INTEGRAL_MARGIN)

    def admits(self, request: AdmissionRequest, now_s: float) -> bool:
        """Decide on a request; the order of calls is that of the arrivals.

        The decision follows from the level and the request's rank and key. A request
        that is repeated at once therefore meets the same decision, here and at any
        other gateway. It does not count for the order of the arriving work.
        """
        rank, position = self._rank(request), key_position(request.key)
        names = (f"organisation {request.organisation}", f"route {request.route}")
        if not self.refused.is_early(request.key, now_s):
            self.shares.offer(request.organisation, request.tokens)
            self._arrivals[rank] = self._arrivals.get(rank, 0.0) + request.tokens
        if not self.refused.is_known(request.key):
            self.usual_rate.add(request.tokens)
        is_admitted = (
            position < KEY_SHARE
            or self._is_within_level(rank, position)
            or any(map(self.minimum_share.is_due, names))
        )
        if is_admitted:
            self.shares.admit(request.organisation, request.tokens)
        for name in names:
            self.minimum_share.record(name, is_admitted)
        return is_admitted

    def _rank(self, request: AdmissionRequest) -> Rank:
        share = request.remaining_s / request.time_s if request.time_s > 0.0 else 0.0
        step = max(0, min(TIME_STEPS, ceil(TIME_STEPS * share)))
        return (request.priority, self.shares.is_above(request.organisation), step)

    def _is_within_level(self, rank: Rank, position: float) -> bool:
        if self._cut is None or rank < self._cut:
            return True
        return rank == self._cut and position < self._cut_share

    def _fade_arrivals(self, elapsed_s: float) -> None:
        decay = exp(-elapsed_s / ARRIVALS_S)
        self._arrivals = {
            rank: tokens * decay
            for rank, tokens in self._arrivals.items()
            if tokens * decay >= MIN_BUCKET_TOKENS
        }

    def _place_cut(self) -> None:
        """Find the rank up to which the admitted share of the arrivals is used."""
        self._cut = None
        if self.admitted_share >= 1.0:
            return
        left = self.admitted_share * sum(self._arrivals.values())
        for rank, tokens in sorted(self._arrivals.items()):
            if tokens > left:
                self._cut, self._cut_share = rank, left / tokens
                return
            left -= tokens
