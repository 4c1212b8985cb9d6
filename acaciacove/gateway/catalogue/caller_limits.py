"""Limits on the size and duration of callers' requests."""

from attrs import frozen


@frozen
class CallerLimits:
    """Limits of one caller's connection.

    The defaults apply until a catalogue is known. They equal the values in the
    catalogues seen so far.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
