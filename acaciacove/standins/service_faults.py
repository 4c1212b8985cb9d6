"""Faults of the plain-service stand-in."""

from attrs import define


@define
class ServiceFaults:
    """How many of the next calls fail in each way (-1: all).

    ``hang_after_effect`` delays the answer by ``hang_s`` after the effect.
    ``drop_before_effect`` and ``drop_after_effect`` close the connection. ``fail``
    answers 500 before any effect. ``foreign_id`` answers with the id of another
    request. ``delay_s`` is added to every call.
    """

    hang_after_effect: int = 0
    drop_after_effect: int = 0
    drop_before_effect: int = 0
    fail: int = 0
    foreign_id: int = 0
    hang_s: float = 3600.0
    delay_s: float = 0.0
