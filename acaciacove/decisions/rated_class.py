"""Class under which an answer is submitted to the rating service."""

from attrs import frozen

SIGNAL_BINS = 8
_SEPARATOR = ";"


@frozen
class RatedClass:
    """Request class, first version and signal bin of a rated answer.

    A rating arrives minutes later, possibly at another entry, when the state of the
    request is gone. The rating service stores the class string with the rating, so any
    entry that fetches the rating can use it. ``after`` is empty for a first answer. For
    a second answer it is the version whose answer had the signal, so that quality is
    estimated for the requests that do escalate.
    """

    request_class: str
    after: str = ""
    signal_bin: int = SIGNAL_BINS - 1

    def __str__(self) -> str:
        """Return the class string that the rating service stores."""
        fields = (self.request_class, self.after, str(self.signal_bin))
        return _SEPARATOR.join(fields)


def signal_bin(signal: float) -> int:
    """Return the bin of a signal from 0 to 1."""
    return min(SIGNAL_BINS - 1, max(0, int(signal * SIGNAL_BINS)))


def parse_rated_class(text: str) -> RatedClass:
    """Parse a rated class; any other text is the request class of a first answer."""
    parts = text.split(_SEPARATOR)
    if len(parts) != 3 or not (parts[2].isascii() and parts[2].isdecimal()):
        return RatedClass(text)
    bin_ = int(parts[2])
    if bin_ >= SIGNAL_BINS:
        return RatedClass(parts[0], parts[1])
    return RatedClass(parts[0], parts[1], bin_)
