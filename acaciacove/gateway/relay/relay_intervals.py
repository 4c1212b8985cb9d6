"""How old knowledge of the log may be for a promise to be kept."""

from attrs import frozen

# Of the time within which a decision is in force everywhere: how long the log may
# hold a reader's call, and how old what it tells the others may be. Askers of a
# reader that has lost the log look themselves in the rest.
LOG_WAIT_SHARE = 0.5
RELAYED_AGE_SHARE = 0.7
# The same of a call by a gateway that no other asks. An empty answer proves that no
# decision was missed, and costs a call.
UNSHARED_WAIT_SHARE = 0.75
MAX_UNSHARED_WAIT_S = 1.5
# Heartbeats of a fleet come many times a second, and each would end a read. A pause
# reads them in one call; it takes this part of the time in which a leaving endpoint
# still serves.
PAUSE_SHARE = 0.25
# API keys are honoured for some seconds without a proof. Two calls, one of which
# meets a connection that has gone silent, end within that time.
MAX_LOG_WAIT_S = 1.5
MAX_RELAYED_AGE_S = 2.1
MAX_PAUSE_S = 0.5
# Of the time in which a leaving endpoint still serves: how old knowledge of endpoints
# may be that is told, how long a question is held, how soon the next call follows one
# that failed, how long one that has lost the log is not asked, how long an answer may
# take beyond its question's hold, how often it is looked whether a lapsed entry's time
# is over, and how long own tries rest while the log turns a gateway away. Refused calls
# are paid for, and readers, who try twice a second, tell the others.
ENDPOINTS_AGE_SHARE = 0.5
REQUEST_WAIT_SHARE = 0.25
RETRY_SHARE = 0.25
STALE_PAUSE_SHARE = 0.2
REPLY_MARGIN_SHARE = 0.15
EXPIRY_CHECK_SHARE = 0.1
REJECTED_PAUSE_SHARE = 0.5
MAX_REQUEST_WAIT_S = 0.5
MAX_RETRY_S = 0.5
MAX_STALE_PAUSE_S = 0.4
# An answer takes a millisecond, or some tens on a slowed machine.
MAX_REPLY_MARGIN_S = 0.3
MAX_EXPIRY_CHECK_S = 0.2
MAX_REJECTED_PAUSE_S = 2.0
# A few endpoints end a read seldom: resting longer would save no call and only make
# their news older.
MIN_PAUSE_S = 0.2
PAUSE_PER_ENDPOINT_S = 0.025
# What an answer of the log may take beyond the time that it is held, at most this part
# of the time for which it is told.
MAX_LOG_REPLY_S = 0.2
LOG_REPLY_SHARE = 0.25


@frozen
class RelayIntervals:
    """``held_s`` bounds a reader's calls, ``max_relayed_age_s`` what it tells.

    Between two reads of endpoints it rests for ``max_pause_s`` at most, and tells of
    them what is no older than ``max_endpoints_age_s``. A gateway that nobody asks may
    be held for ``unshared_wait_s``. A question to another is held for
    ``request_wait_s`` at most, and given up ``reply_margin_s`` later; one that has
    lost the log is not asked for
    ``stale_pause_s``. A call that failed is followed by the next within ``retry_s``,
    but own tries rest for ``rejected_pause_s`` while the log turns a gateway away. Each
    ``expiry_check_s`` it is looked whether a lapsed entry's time is over.
    """

    held_s: float
    unshared_wait_s: float
    max_pause_s: float
    max_relayed_age_s: float
    max_endpoints_age_s: float
    request_wait_s: float
    reply_margin_s: float
    retry_s: float
    stale_pause_s: float
    rejected_pause_s: float
    expiry_check_s: float

    def read_pause_s(self, endpoints: int) -> float:
        """Return the rest between two reads of so many endpoints' heartbeats."""
        wanted_s = max(MIN_PAUSE_S, PAUSE_PER_ENDPOINT_S * endpoints)
        return min(self.max_pause_s, wanted_s)

    def endpoints_wait_s(self, endpoints: int) -> float:
        """Return how long a read after such a rest may be held, and still be told."""
        oldest_s = self.max_endpoints_age_s
        answer_s = min(MAX_LOG_REPLY_S, LOG_REPLY_SHARE * oldest_s)
        return min(self.held_s, oldest_s - answer_s - self.read_pause_s(endpoints))


def relay_intervals(propagation_s: float, drain_s: float) -> RelayIntervals:
    """Return the pace for promised times: fewer calls where they are longer.

    A decision is in force everywhere after ``propagation_s``, and a leaving endpoint
    is sent nothing after ``drain_s``.
    """
    held_s = min(MAX_LOG_WAIT_S, LOG_WAIT_SHARE * propagation_s)
    max_pause_s = min(MAX_PAUSE_S, PAUSE_SHARE * drain_s, held_s / 2.0)
    max_relayed_age_s = min(MAX_RELAYED_AGE_S, RELAYED_AGE_SHARE * propagation_s)
    shortest_s = min(drain_s, propagation_s)
    return RelayIntervals(
        held_s=held_s,
        unshared_wait_s=min(MAX_UNSHARED_WAIT_S, UNSHARED_WAIT_SHARE * propagation_s),
        max_pause_s=max_pause_s,
        max_relayed_age_s=max_relayed_age_s,
        max_endpoints_age_s=min(max_relayed_age_s, ENDPOINTS_AGE_SHARE * drain_s),
        request_wait_s=min(MAX_REQUEST_WAIT_S, REQUEST_WAIT_SHARE * shortest_s),
        reply_margin_s=min(MAX_REPLY_MARGIN_S, REPLY_MARGIN_SHARE * shortest_s),
        retry_s=min(MAX_RETRY_S, RETRY_SHARE * shortest_s),
        stale_pause_s=min(MAX_STALE_PAUSE_S, STALE_PAUSE_SHARE * shortest_s),
        rejected_pause_s=min(MAX_REJECTED_PAUSE_S, REJECTED_PAUSE_SHARE * shortest_s),
        expiry_check_s=min(MAX_EXPIRY_CHECK_S, EXPIRY_CHECK_SHARE * drain_s),
    )
