"""The streams of the platform's log that a gateway reads or writes."""

from enum import Enum


class LogStream(Enum):
    """Operators' decisions, endpoints' heartbeats, and the gateways' own records."""

    OPERATOR = "operator"
    ENDPOINTS = "endpoints"
    OUTCOMES = "outcomes"
    MEMBERS = "members"
    QUARANTINE = "quarantine"
