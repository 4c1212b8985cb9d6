"""The class under which an answer is handed to the rating service."""

from attrs import frozen

SIGNAL_BINS = 8
FIRST_STEP = 0
_SEPARATOR = ";"


@frozen
class RatedClass:
    """Request class, cascade step and signal bin of a rated answer.

    A rating comes back minutes later, perhaps to another entry, after the request
    is forgotten. Writing these three into the class string that the rating service
    keeps makes every rating usable by whichever entry fetches it.
    """

    request_class: str
    step: int = FIRST_STEP
    signal_bin: int = SIGNAL_BINS - 1

    def __str__(self) -> str:
        """Write the class as the rating service keeps it."""
        fields = (self.request_class, str(self.step), str(self.signal_bin))
        return _SEPARATOR.join(fields)


def signal_bin(signal: float) -> int:
    """Sort a signal from 0 to 1 into one of the bins."""
    return min(SIGNAL_BINS - 1, max(0, int(signal * SIGNAL_BINS)))


def parse_rated_class(text: str) -> RatedClass:
    """Read a rated class; other text is a request class rated at the first step."""
    parts = text.split(_SEPARATOR)
    if len(parts) != 3 or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return RatedClass(text)
    step, bin_ = int(parts[1]), int(parts[2])
    if bin_ >= SIGNAL_BINS:
        return RatedClass(parts[0], step)
    return RatedClass(parts[0], step, bin_)
