"""Guarantees organisations and routes a share of their requests under any load."""

from collections import OrderedDict

from attrs import define, field

# The share of requests that is admitted whatever the level, chosen by their keys.
KEY_SHARE = 0.1
# Of this many consecutive requests of a name, one is admitted whatever its key. It is
# four times the number that the share gives: callers that retry at once send a refused
# request four times, and their attempts must not earn more than the requests do.
MAX_REFUSED = 40
# Organisations and routes that are counted; those unseen for longest go first.
MAX_NAMES = 4_096
# Fractional part of the golden ratio in units of 2**-64. Multiples of it are spread
# evenly, so consecutive keys are too, and one key over consecutive periods.
KEY_STEP = 0x9E3779B97F4A7C15
KEYS = 1 << 64


def key_position(key: int) -> float:
    """Return a position from 0 to 1 that is the same for a key in all gateways."""
    return key * KEY_STEP % KEYS / KEYS


@define
class MinimumShare:
    """Consecutive refusals of organisations and routes.

    Which requests are admitted follows from their keys, so that a repeated request
    gets the same answer from every gateway.
    """

    _refused: OrderedDict[str, int] = field(factory=OrderedDict)

    def is_due(self, name: str) -> bool:
        """Return whether the next request of a name must be admitted."""
        return self._refused.get(name, 0) >= MAX_REFUSED - 1

    def record(self, name: str, admitted: bool) -> None:
        """Record the decision on a request of a name."""
        refused = self._refused.pop(name, 0)
        if admitted:
            return
        self._refused[name] = refused + 1
        while len(self._refused) > MAX_NAMES:
            self._refused.popitem(last=False)
