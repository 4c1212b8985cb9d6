"""How old knowledge of the log may be for a promise to be kept."""

from attrs import frozen

# Of the time within which a decision is in force everywhere: how long the log may
# hold a reader's call, and how old what it tells the others may be. Askers of a
# reader that has lost the log look themselves in the rest.
HELD_SHARE = 0.5
TOLD_SHARE = 0.7
# The same of a call by a gateway that no other asks. An empty answer proves that no
# decision was missed, and costs a call.
ALONE_SHARE = 0.75
LONGEST_ALONE_S = 1.5
# Heartbeats of a fleet come many times a second, and each would end a read. A pause
# reads them in one call; it takes this part of the time in which a leaving endpoint
# still serves.
PAUSE_SHARE = 0.25
# API keys are honoured for some seconds without a proof. Two calls, one of which
# meets a connection that has gone silent, end within that time.
LONGEST_HELD_S = 1.5
LONGEST_TOLD_S = 2.1
LONGEST_PAUSE_S = 0.5
# Of the time in which a leaving endpoint still serves: how old knowledge of endpoints
# may be that is told, how long a question is held, how soon the next call follows one
# that failed, how long one that has lost the log is not asked, how long an answer may
# take beyond its question's hold, how often it is looked whether a lapsed entry's time
# is over, and how long own tries rest while the log turns a gateway away. Refused calls
# are paid for, and readers, who try twice a second, tell the others.
TOLD_DRAIN_SHARE = 0.5
QUESTION_SHARE = 0.25
RETRY_SHARE = 0.25
STALE_SHARE = 0.2
LATE_ANSWER_SHARE = 0.15
EXPIRE_SHARE = 0.1
TURNED_AWAY_SHARE = 0.5
LONGEST_QUESTION_S = 0.5
LONGEST_RETRY_S = 0.5
LONGEST_STALE_S = 0.4
# An answer takes a millisecond, or some tens on a slowed machine.
LONGEST_LATE_ANSWER_S = 0.3
LONGEST_EXPIRE_S = 0.2
LONGEST_TURNED_AWAY_S = 2.0
# A few endpoints end a read seldom: resting longer would save no call and only make
# their news older.
LEAST_PAUSE_S = 0.2
PAUSE_PER_ENDPOINT_S = 0.025
# What an answer of the log may take beyond the time that it is held, at most this part
# of the time for which it is told.
ANSWER_MARGIN_S = 0.2
ANSWER_SHARE = 0.25


@frozen
class RelayPace:
    """``held_s`` bounds a reader's calls, ``oldest_told_s`` what it tells.

    Between two reads of endpoints it rests for ``pause_s`` at most, and tells of them
    what is no older than ``oldest_endpoints_s``. A gateway that nobody asks may be held
    for ``alone_s``. A question to another is held for ``question_s`` at most, and given
    up ``late_answer_s`` later; one that has lost the log is not asked for ``stale_s``.
    A call that failed is followed by the next within ``retry_s``, but own tries rest
    for ``turned_away_s`` while the log turns a gateway away. Each ``expire_s`` it is
    looked whether a lapsed entry's time is over.
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
        """Return the rest between two reads of so many endpoints' heartbeats."""
        wanted_s = max(LEAST_PAUSE_S, PAUSE_PER_ENDPOINT_S * endpoints)
        return min(self.pause_s, wanted_s)

    def endpoints_held_s(self, endpoints: int) -> float:
        """Return how long a read after such a rest may be held, and still be told."""
        oldest_s = self.oldest_endpoints_s
        answer_s = min(ANSWER_MARGIN_S, ANSWER_SHARE * oldest_s)
        return min(self.held_s, oldest_s - answer_s - self.rest_s(endpoints))


def relay_pace(propagation_s: float, drain_s: float) -> RelayPace:
    """Return the pace for promised times: fewer calls where they are longer.

    A decision is in force everywhere after ``propagation_s``, and a leaving endpoint
    is sent nothing after ``drain_s``.
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
