"""Gossip message on crashes and on requests that may have caused them."""

from attrs import frozen

from acaciacove.messages.crash_seen import CrashSeen
from acaciacove.messages.request_verdict import RequestVerdict


@frozen
class RequestNews:
    """Crashes and verdicts, sent to a subset of the gateways.

    A receiver forwards those that are new to it.
    """

    crashes: tuple[CrashSeen, ...] = ()
    verdicts: tuple[RequestVerdict, ...] = ()
