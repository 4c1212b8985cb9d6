"""The class under which an answer is handed to the rating service."""

from attrs import frozen

SIGNAL_BINS = 8
_SEPARATOR = ";"


@frozen
class RatedClass:
    """Request class, first version and its signal bin of a rated answer.

    A rating comes back minutes later, perhaps to another entry, after the request
    is forgotten. Writing these into the class string that the rating service keeps
    makes every rating usable by whichever entry fetches it. ``after`` is empty for
    a first answer; for a second one it names the version whose answer had the
    signal, so that quality is learned for the requests that do escalate.
    """

    request_class: str
    after: str = ""
    signal_bin: int = SIGNAL_BINS - 1

    def __str__(self) -> str:
        """Write the class as the rating service keeps it."""
        fields = (self.request_class, self.after, str(self.signal_bin))
        return _SEPARATOR.join(fields)


def signal_bin(signal: float) -> int:
    """Sort a signal from 0 to 1 into one of the bins."""
    return min(SIGNAL_BINS - 1, max(0, int(signal * SIGNAL_BINS)))


def parse_rated_class(text: str) -> RatedClass:
    """Read a rated class; other text is the class of a first answer."""
    parts = text.split(_SEPARATOR)
    if len(parts) != 3 or not (parts[2].isascii() and parts[2].isdecimal()):
        return RatedClass(text)
    bin_ = int(parts[2])
    if bin_ >= SIGNAL_BINS:
        return RatedClass(parts[0], parts[1])
    return RatedClass(parts[0], parts[1], bin_)
