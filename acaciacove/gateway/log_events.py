"""Names of log lines."""

from enum import StrEnum


class Event(StrEnum):
    """Stable names that operators search for."""

    STARTED = "started"
    READY = "ready"
    LEAVING = "leaving"
    STOPPED = "stopped"
    RELOADED = "reloaded"
    SETTINGS_UNREADABLE = "settings_unreadable"
    REQUEST = "request"
    ATTEMPT = "attempt"
    CALLER_REFUSED = "caller_refused"
    LOG_LOST = "log_lost"
    LOG_REGAINED = "log_regained"
    RECORD_UNREADABLE = "record_unreadable"
    DECISION_KNOWN = "decision_known"
    DECISION_REMOVED = "decision_removed"
    ENDPOINT_KNOWN = "endpoint_known"
    ENDPOINT_LAPSED = "endpoint_lapsed"
    ENDPOINT_GONE = "endpoint_gone"
    ENDPOINT_EJECTED = "endpoint_ejected"
    ROLLOUT_PHASE = "rollout_phase"
    ROLLOUT_RECORDED = "rollout_recorded"
    ROLLOUT_NOT_RECORDED = "rollout_not_recorded"
    PEER_KNOWN = "peer_known"
    PEER_MESSAGE_UNREADABLE = "peer_message_unreadable"
    LINES_DROPPED = "lines_dropped"
    FAULT = "fault"
