"""Estimates how long work takes at one endpoint, as a multiple of the usual time.

The load answered: endpoints of uneven speed on machines shared with noisy neighbours,
where each of many gateways sees a few of the reports, and sees them late. The estimate
uses only what this gateway has received and observed.
"""

from math import exp, log

from attrs import define

# A report counts in full on arrival and not at all after this time, as reports of
# load do. Without an end, a gateway that avoids an endpoint for a slow machine would
# get no response from it, and so never learn that the machine has recovered.
MAX_REPORT_AGE_S = 3.0
# Time constant of the mean of reports. The reported figure changes many times per
# second, while work takes between a tenth of a second and some seconds.
MEAN_REPORT_AGE_S = 1.0
# Weight of the usual pace in the mean, in reports. A single report says little about
# the next second, so it counts for half.
USUAL_WEIGHT = 1.0
# Half-life of what is known of the endpoint's own slowness. Hardware does not change
# during an incarnation, but a wrong estimate keeps requests away that would correct it.
OWN_HALF_LIFE_S = 60.0
# Weight of normal speed, in observations. A single one says little: most of its
# deviation is queueing and the machine's pace between two reports.
NORMAL_WEIGHT = 3.0
# Weight that earlier observations keep with each new one.
DECAY = 0.98
# An observation further from the expected time than this factor is a stall or a fault.
MAX_FACTOR = 8.0
# The own slowness is known from this weight of observations on, when they make up five
# sixths of the estimate.
KNOWN_WEIGHT = 5.0 * NORMAL_WEIGHT


@define
class EndpointPace:
    """Pace of the endpoint's machine, and the endpoint's own slowness on it.

    The machine's pace is reported and changes within a second. The own slowness is a
    factor on the time work takes, 0.625 at 1.6 times the normal speed, and is learnt
    from responses. Until a pace has been reported, ``slowness`` is exactly 1 and
    nothing is learnt. Times are in seconds of one monotonic clock.
    """

    is_reported: bool = False
    is_own_known: bool = False
    _mean: float = 1.0
    _weight: float = 0.0
    _reported_s: float = -1e9
    _own_sum: float = 0.0
    _own_weight: float = 0.0
    _learnt_s: float = -1e9

    def report(self, pace: float, now_s: float) -> None:
        """Apply a reported pace of the machine, above 0; 1 is the usual pace."""
        age_s = max(0.0, now_s - self._reported_s)
        kept = self._weight * exp(-age_s / MEAN_REPORT_AGE_S)
        self._weight = kept + 1.0
        self._mean += (pace - self._mean) / self._weight
        self._reported_s = now_s
        self.is_reported = True

    def machine_pace(self, now_s: float) -> float:
        """Return the mean of recent reports, which approaches 1 with their age."""
        age_s = max(0.0, now_s - self._reported_s)
        freshness = max(0.0, 1.0 - age_s / MAX_REPORT_AGE_S)
        share = freshness * self._weight / (self._weight + USUAL_WEIGHT)
        return 1.0 + share * (self._mean - 1.0)

    def learn(self, expected_s: float, took_s: float, now_s: float) -> bool:
        """Learn the own slowness from a response that has just arrived.

        ``expected_s`` is its time at normal speed and pace, ``took_s`` its time without
        known waits; times that are not positive are ignored. Returns whether the own
        slowness has become known by this response.
        """
        if not self.is_reported or expected_s <= 0.0 or took_s <= 0.0:
            return False
        factor = took_s / (expected_s * self.machine_pace(now_s))
        observed = log(min(MAX_FACTOR, max(1.0 / MAX_FACTOR, factor)))
        kept = DECAY * self._own_decay(now_s)
        self._own_sum = kept * self._own_sum + observed
        self._own_weight = kept * self._own_weight + 1.0
        self._learnt_s = now_s
        was_known = self.is_own_known
        if self._own_weight >= KNOWN_WEIGHT:
            self.is_own_known = True
        return self.is_own_known and not was_known

    def own_slowness(self, now_s: float) -> float:
        """Return the endpoint's own factor on the time that work takes."""
        return exp(self._own_log(now_s))

    def slowness(self, now_s: float) -> float:
        """Return the expected factor on the time of work that starts now."""
        if not self.is_reported:
            return 1.0
        return self.machine_pace(now_s) * self.own_slowness(now_s)

    def _own_decay(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self._learnt_s)
        return float(0.5 ** (age_s / OWN_HALF_LIFE_S))

    def _own_log(self, now_s: float) -> float:
        kept = self._own_decay(now_s)
        return kept * self._own_sum / (kept * self._own_weight + NORMAL_WEIGHT)
