"""How old knowledge of the log may be for a promise to be kept."""

from attrs import frozen

# Of the time within which a decision is in force everywhere: how long the log may
# hold a reader's call, and how old what it tells the others may be. Askers of a
# reader that has lost the log look themselves in the rest.
HELD_SHARE = 0.5
TOLD_SHARE = 0.7
# During a roll-out or a restart many endpoints change together; a pause reads them
# in one call.
PAUSE_SHARE = 0.1
# API keys are honoured for some seconds without a proof. Two calls, one of which
# meets a connection that has gone silent, end within that time.
LONGEST_HELD_S = 1.5
LONGEST_TOLD_S = 2.1
LONGEST_PAUSE_S = 0.3


@frozen
class RelayPace:
    """``held_s`` bounds a reader's calls, ``oldest_told_s`` what it tells.

    Between two reads of endpoints it rests for ``pause_s``.
    """

    held_s: float
    pause_s: float
    oldest_told_s: float


def relay_pace(propagation_s: float) -> RelayPace:
    """Return the pace for a promised time: fewer calls where it is longer."""
    return RelayPace(
        held_s=min(LONGEST_HELD_S, HELD_SHARE * propagation_s),
        pause_s=min(LONGEST_PAUSE_S, PAUSE_SHARE * propagation_s),
        oldest_told_s=min(LONGEST_TOLD_S, TOLD_SHARE * propagation_s),
    )
