"""How old knowledge of the log may be for a promise to be kept."""

from attrs import frozen

# Of the time within which a decision is in force everywhere: how long the log may
# hold a reader's call, and how old what it tells the others may be. Askers of a
# reader that has lost the log look themselves in the rest.
HELD_SHARE = 0.5
TOLD_SHARE = 0.7
# Heartbeats of a fleet come many times a second, and each would end a read. A pause
# reads them in one call; it takes this part of the time in which a leaving endpoint
# still serves.
PAUSE_SHARE = 0.25
# API keys are honoured for some seconds without a proof. Two calls, one of which
# meets a connection that has gone silent, end within that time.
LONGEST_HELD_S = 1.5
LONGEST_TOLD_S = 2.1
LONGEST_PAUSE_S = 0.5
# A few endpoints end a read seldom: resting longer would save no call and only make
# their news older.
LEAST_PAUSE_S = 0.2
PAUSE_PER_ENDPOINT_S = 0.025
# What an answer of the log may take beyond the time that it is held.
ANSWER_MARGIN_S = 0.2


@frozen
class RelayPace:
    """``held_s`` bounds a reader's calls, ``oldest_told_s`` what it tells.

    Between two reads of endpoints it rests for ``pause_s`` at most.
    """

    held_s: float
    pause_s: float
    oldest_told_s: float

    def rest_s(self, endpoints: int) -> float:
        """Return the rest between two reads of so many endpoints' heartbeats."""
        wanted_s = max(LEAST_PAUSE_S, PAUSE_PER_ENDPOINT_S * endpoints)
        return min(self.pause_s, wanted_s)

    def endpoints_held_s(self, endpoints: int) -> float:
        """Return how long a read after such a rest may be held, and still be told."""
        left_s = self.oldest_told_s - self.rest_s(endpoints) - ANSWER_MARGIN_S
        return min(self.held_s, left_s)


def relay_pace(propagation_s: float, drain_s: float) -> RelayPace:
    """Return the pace for promised times: fewer calls where they are longer.

    A decision is in force everywhere after ``propagation_s``, and a leaving endpoint
    is sent nothing after ``drain_s``.
    """
    held_s = min(LONGEST_HELD_S, HELD_SHARE * propagation_s)
    pause_s = min(LONGEST_PAUSE_S, PAUSE_SHARE * drain_s, held_s / 2.0)
    return RelayPace(
        held_s=held_s,
        pause_s=pause_s,
        oldest_told_s=min(LONGEST_TOLD_S, TOLD_SHARE * propagation_s),
    )
