"""Guarantees organisations and routes a share of their requests under any load."""

from collections import OrderedDict

from attrs import define, field

# The share of a name's requests that is admitted.
SHARE = 0.1
# Bounds of a name's credit, in requests. A name is due from the upper one; the lower
# one limits for how long it pays for an admission that another name was due.
DUE_CREDIT = 1.0
MIN_CREDIT = -1.0
# Credits start and are compared with this tolerance: ten tenths are less than 1.
ROUNDING = 1e-9
# Organisations and routes whose credits are kept; those unseen for longest go first.
MAX_NAMES = 4_096


@define
class MinimumShare:
    """Credits of names, each earning a tenth of a request per request, not randomly.

    An admission costs one credit. One that the level allows takes at most what has been
    earned; one that was due to another name may be paid later. Each request has two
    names, its organisation and its route, and counts for both in this way.
    """

    _credits: OrderedDict[str, float] = field(factory=OrderedDict)

    def count(self, name: str) -> None:
        """Count a request of a name."""
        credit = min(DUE_CREDIT, self._credits.pop(name, 0.0) + SHARE)
        self._credits[name] = credit
        while len(self._credits) > MAX_NAMES:
            self._credits.popitem(last=False)

    def is_due(self, name: str) -> bool:
        """Return whether a request of a name must be admitted."""
        return self._credits.get(name, 0.0) >= DUE_CREDIT - ROUNDING

    def record_admitted(self, name: str, by_level: bool) -> None:
        """Charge an admission to a name."""
        credit = self._credits.get(name, 0.0)
        floor = min(credit, 0.0) if by_level else MIN_CREDIT
        self._credits[name] = max(floor, credit - 1.0)
