"""Intervals and age limits of the relay, derived from the guaranteed times."""

from attrs import frozen

# Shares of the time within which a decision must be in force everywhere: how long the
# log may hold a reader's call, and how old the records may be that are relayed. The
# rest of that time lets a gateway whose reader has lost the log read it itself.
LOG_WAIT_SHARE = 0.5
RELAYED_AGE_SHARE = 0.7
# The same for a call by a gateway that no other gateway reads through. An empty answer
# proves that no decision was missed, and costs one call.
UNSHARED_WAIT_SHARE = 0.75
MAX_UNSHARED_WAIT_S = 1.5
# The heartbeats of a fleet come many times a second, and each of them would end a read.
# After a pause one call reads them all. The pause takes this share of the drain time.
PAUSE_SHARE = 0.25
# API keys are honoured for some seconds without a confirmation. Two calls, one of
# which meets a silent connection, end within that time.
MAX_LOG_WAIT_S = 1.5
MAX_RELAYED_AGE_S = 2.1
MAX_PAUSE_S = 0.5
# Shares of the time in which a draining endpoint still serves, from here on.
#
# The maximum age of relayed records of endpoints.
ENDPOINTS_AGE_SHARE = 0.5
# How long a request to another gateway is held.
REQUEST_WAIT_SHARE = 0.25
# The longest delay before a failed call is retried.
RETRY_SHARE = 0.25
# How long a gateway that has lost the log is not asked again.
STALE_PAUSE_SHARE = 0.2
# How long a reply may take beyond the time for which its request is held.
REPLY_MARGIN_SHARE = 0.15
# How long a reply whose bytes keep arriving may take. A reader that relays a large
# change to many peers is then slower than the log, which remains to be asked.
TRANSFER_SHARE = 0.25
# The interval between checks for expired entries.
EXPIRY_CHECK_SHARE = 0.1
# How long a gateway makes no calls while the log rejects them. Rejected calls are
# billed, and the readers, who retry twice a second, relay the records.
REJECTED_PAUSE_SHARE = 0.5
MAX_REQUEST_WAIT_S = 0.5
MAX_RETRY_S = 0.5
MAX_STALE_PAUSE_S = 0.4
# A reply takes a millisecond, or some tens of milliseconds on a slowed machine.
MAX_REPLY_MARGIN_S = 0.3
MAX_EXPIRY_CHECK_S = 0.2
MAX_REJECTED_PAUSE_S = 2.0
# Few endpoints seldom end a read. A longer pause would save no call and only delay
# their records.
MIN_PAUSE_S = 0.2
PAUSE_PER_ENDPOINT_S = 0.025
# How long the log may take to reply beyond the time for which it holds a call, and the
# largest share of the maximum age that this may take.
MAX_LOG_REPLY_S = 0.2
LOG_REPLY_SHARE = 0.25


@frozen
class RelayIntervals:
    """Time limits of reads, of the relay and of retries.

    ``log_wait_s`` limits how long the log may hold a reader's call, and
    ``unshared_wait_s`` the same for a gateway that no other reads through.
    ``max_pause_s`` limits the pause between two reads of endpoints.
    ``max_relayed_age_s`` is the maximum age of relayed records, ``max_endpoints_age_s``
    that of records of endpoints.

    A request to another gateway is held for up to ``request_wait_s`` and abandoned
    ``reply_margin_s`` later if nothing of the reply has arrived. A reply whose bytes
    keep arriving may take ``transfer_s``, or ``longest_transfer_s`` where the log
    cannot be read instead. A gateway that has lost the log is not asked again for
    ``stale_pause_s``. ``retry_s`` limits the delay before a failed call is retried.
    While the log rejects calls of this gateway, it makes none for ``rejected_pause_s``.
    Retained entries are checked for expiry every ``expiry_check_s``.
    """

    log_wait_s: float
    unshared_wait_s: float
    max_pause_s: float
    max_relayed_age_s: float
    max_endpoints_age_s: float
    request_wait_s: float
    reply_margin_s: float
    transfer_s: float
    longest_transfer_s: float
    retry_s: float
    stale_pause_s: float
    rejected_pause_s: float
    expiry_check_s: float

    def read_pause_s(self, endpoints: int) -> float:
        """Return the pause between two reads of this many endpoints' heartbeats."""
        desired_s = max(MIN_PAUSE_S, PAUSE_PER_ENDPOINT_S * endpoints)
        return min(self.max_pause_s, desired_s)

    def endpoints_wait_s(self, endpoints: int) -> float:
        """Return how long the read after such a pause may wait and still be relayed."""
        max_age_s = self.max_endpoints_age_s
        reply_s = min(MAX_LOG_REPLY_S, LOG_REPLY_SHARE * max_age_s)
        return min(self.log_wait_s, max_age_s - reply_s - self.read_pause_s(endpoints))


def relay_intervals(propagation_s: float, drain_s: float) -> RelayIntervals:
    """Return the intervals for the guaranteed times; longer times need fewer calls.

    A decision is in force everywhere after ``propagation_s``, and a draining endpoint
    is sent no requests after ``drain_s``.
    """
    log_wait_s = min(MAX_LOG_WAIT_S, LOG_WAIT_SHARE * propagation_s)
    max_pause_s = min(MAX_PAUSE_S, PAUSE_SHARE * drain_s, log_wait_s / 2.0)
    max_relayed_age_s = min(MAX_RELAYED_AGE_S, RELAYED_AGE_SHARE * propagation_s)
    shortest_s = min(drain_s, propagation_s)
    return RelayIntervals(
        log_wait_s=log_wait_s,
        unshared_wait_s=min(MAX_UNSHARED_WAIT_S, UNSHARED_WAIT_SHARE * propagation_s),
        max_pause_s=max_pause_s,
        max_relayed_age_s=max_relayed_age_s,
        max_endpoints_age_s=min(max_relayed_age_s, ENDPOINTS_AGE_SHARE * drain_s),
        request_wait_s=min(MAX_REQUEST_WAIT_S, REQUEST_WAIT_SHARE * shortest_s),
        reply_margin_s=min(MAX_REPLY_MARGIN_S, REPLY_MARGIN_SHARE * shortest_s),
        transfer_s=TRANSFER_SHARE * propagation_s,
        longest_transfer_s=propagation_s,
        retry_s=min(MAX_RETRY_S, RETRY_SHARE * shortest_s),
        stale_pause_s=min(MAX_STALE_PAUSE_S, STALE_PAUSE_SHARE * shortest_s),
        rejected_pause_s=min(MAX_REJECTED_PAUSE_S, REJECTED_PAUSE_SHARE * shortest_s),
        expiry_check_s=min(MAX_EXPIRY_CHECK_S, EXPIRY_CHECK_SHARE * drain_s),
    )
