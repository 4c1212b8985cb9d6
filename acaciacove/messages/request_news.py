"""Word of crashes, and of requests that may have caused them."""

from attrs import frozen

from acaciacove.messages.crash_seen import CrashSeen
from acaciacove.messages.request_verdict import RequestVerdict


@frozen
class RequestNews:
    """Told to a few gateways, which pass on what they did not know."""

    crashes: tuple[CrashSeen, ...] = ()
    verdicts: tuple[RequestVerdict, ...] = ()
