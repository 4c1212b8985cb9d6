"""Intervals and age limits of the relay, derived from the guaranteed times."""

from attrs import frozen

# Shares of the time within which a decision must be in force everywhere: how long the
# log may hold a reader's call, and how old the records may be that are relayed. The
# rest of that time lets a gateway whose reader has lost the log read it itself.
HELD_SHARE = 0.5
TOLD_SHARE = 0.7
# The same for a call by a gateway that no other gateway reads through. An empty answer
# proves that no decision was missed, and costs one call.
ALONE_SHARE = 0.75
LONGEST_ALONE_S = 1.5
# The heartbeats of a fleet come many times a second, and each of them would end a read.
# After a pause one call reads them all. The pause takes this share of the drain time.
PAUSE_SHARE = 0.25
# API keys are honoured for some seconds without a confirmation. Two calls, the first of
# which meets a silent connection, end within that time.
LONGEST_HELD_S = 1.5
LONGEST_TOLD_S = 2.1
LONGEST_PAUSE_S = 0.5
# The following are shares of the time in which a draining endpoint still serves.
# The greatest age of relayed records of endpoints.
TOLD_DRAIN_SHARE = 0.5
# How long a request to another gateway is held.
QUESTION_SHARE = 0.25
# The longest delay before a failed call is retried.
RETRY_SHARE = 0.25
# How long a gateway that has lost the log is not asked again.
STALE_SHARE = 0.2
# How long a reply may take beyond the time for which its request is held.
LATE_ANSWER_SHARE = 0.15
# The interval between checks for expired entries.
EXPIRE_SHARE = 0.1
# How long a gateway makes no calls while the log rejects them. Rejected calls are
# billed, and the readers, who retry twice a second, relay the records.
TURNED_AWAY_SHARE = 0.5
LONGEST_QUESTION_S = 0.5
LONGEST_RETRY_S = 0.5
LONGEST_STALE_S = 0.4
# A reply takes a millisecond, or some tens of milliseconds on a slowed machine.
LONGEST_LATE_ANSWER_S = 0.3
LONGEST_EXPIRE_S = 0.2
LONGEST_TURNED_AWAY_S = 2.0
# Few endpoints seldom end a read. A longer pause would save no call and only delay
# their records.
LEAST_PAUSE_S = 0.2
PAUSE_PER_ENDPOINT_S = 0.025
# How long the log may take to reply beyond the time for which it holds a call, and the
# largest share of the maximum age that this may take.
ANSWER_MARGIN_S = 0.2
ANSWER_SHARE = 0.25


@frozen
class RelayPace:
    """Time limits of reads, of the relay and of retries.

    The log may hold a reader's call for up to ``held_s``, and that of a gateway that no
    other reads through for up to ``alone_s``. Records are relayed if they are no older
    than ``oldest_told_s``, those of endpoints no older than ``oldest_endpoints_s``. Two
    reads of endpoints are at most ``pause_s`` apart. A request to another gateway is
    held for up to ``question_s`` and abandoned ``late_answer_s`` later. A gateway that
    has lost the log is not asked again for ``stale_s``. A failed call is retried within
    ``retry_s``. While the log rejects calls of this gateway, it makes none for
    ``turned_away_s``. Retained entries are checked for expiry every ``expire_s``.
    """

    held_s: float
    alone_s: float
    pause_s: float
    oldest_told_s: float
    oldest_endpoints_s: float
    question_s: float
    late_answer_s: float
    retry_s: float
    stale_s: float
    turned_away_s: float
    expire_s: float

    def rest_s(self, endpoints: int) -> float:
        """Return the pause between two reads of this many endpoints' heartbeats."""
        wanted_s = max(LEAST_PAUSE_S, PAUSE_PER_ENDPOINT_S * endpoints)
        return min(self.pause_s, wanted_s)

    def endpoints_held_s(self, endpoints: int) -> float:
        """Return how long the read after such a pause may wait and still be relayed."""
        oldest_s = self.oldest_endpoints_s
        answer_s = min(ANSWER_MARGIN_S, ANSWER_SHARE * oldest_s)
        return min(self.held_s, oldest_s - answer_s - self.rest_s(endpoints))


def relay_pace(propagation_s: float, drain_s: float) -> RelayPace:
    """Return the intervals for the guaranteed times; longer times need fewer calls.

    A decision is in force everywhere after ``propagation_s``, and a draining endpoint
    is sent no requests after ``drain_s``.
    """
    held_s = min(LONGEST_HELD_S, HELD_SHARE * propagation_s)
    pause_s = min(LONGEST_PAUSE_S, PAUSE_SHARE * drain_s, held_s / 2.0)
    oldest_told_s = min(LONGEST_TOLD_S, TOLD_SHARE * propagation_s)
    shortest_s = min(drain_s, propagation_s)
    return RelayPace(
        held_s=held_s,
        alone_s=min(LONGEST_ALONE_S, ALONE_SHARE * propagation_s),
        pause_s=pause_s,
        oldest_told_s=oldest_told_s,
        oldest_endpoints_s=min(oldest_told_s, TOLD_DRAIN_SHARE * drain_s),
        question_s=min(LONGEST_QUESTION_S, QUESTION_SHARE * shortest_s),
        late_answer_s=min(LONGEST_LATE_ANSWER_S, LATE_ANSWER_SHARE * shortest_s),
        retry_s=min(LONGEST_RETRY_S, RETRY_SHARE * shortest_s),
        stale_s=min(LONGEST_STALE_S, STALE_SHARE * shortest_s),
        turned_away_s=min(LONGEST_TURNED_AWAY_S, TURNED_AWAY_SHARE * shortest_s),
        expire_s=min(LONGEST_EXPIRE_S, EXPIRE_SHARE * drain_s),
    )
