"""Kinds of faults that a soak injects from outside the gateway processes."""

from enum import StrEnum


class FaultKind(StrEnum):
    """Kind of a fault; the comment above each group names its target."""

    # A gateway, by its number.
    TERMINATE = "terminate"
    KILL = "kill"
    PAUSE = "pause"
    # A gateway's connections to the log, by the gateway's number.
    LOG_DELAYED = "log_delayed"
    LOG_RESET = "log_reset"
    LOG_SILENT = "log_silent"
    LOG_MUTE = "log_mute"
    # The log refuses the gateway that last read the endpoints' stream, and serves the
    # others.
    LOG_TURNS_AWAY = "log_turns_away"
    # The log, for all gateways.
    LOG_AWAY = "log_away"
    LOG_REFUSES = "log_refuses"
    LOG_FORGETS = "log_forgets"
    LOG_LOSES_REPLIES = "log_loses_replies"
    # It is away, and returns from a copy that is some seconds old.
    LOG_RESTORED = "log_restored"
    # Connections to an endpoint, by the endpoint's number.
    ENDPOINT_DELAYED = "endpoint_delayed"
    ENDPOINT_RESET = "endpoint_reset"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_MUTE = "endpoint_mute"
    # An endpoint, by its number.
    ENDPOINT_CRASHES = "endpoint_crashes"
    ENDPOINT_LEAVES = "endpoint_leaves"
    # As before, but unannounced: the entry is removed at once, and the endpoint
    # serves on for a while.
    ENDPOINT_REMOVED = "endpoint_removed"
    ENDPOINT_FAILS = "endpoint_fails"
    ENDPOINT_FULL = "endpoint_full"
    ENDPOINT_LIMITS = "endpoint_limits"
    # It says that it leaves in its responses, and seconds later in the log.
    ENDPOINT_ANNOUNCES = "endpoint_announces"
    # It refuses requests and asks for rest.
    ENDPOINT_RESTS = "endpoint_rests"
    ENDPOINT_LOSES_ANSWERS = "endpoint_loses_answers"
    ENDPOINT_CUTS = "endpoint_cuts"
    # Its answers end with their connections: whole ones, streams cut inside an event,
    # and one that its crash cuts off.
    ENDPOINT_CLOSE_DELIMITED = "endpoint_close_delimited"
    # Its streams end inside an event, with their framing in order.
    ENDPOINT_ENDS_INSIDE_EVENT = "endpoint_ends_inside_event"
    # A request that crashes endpoints. Callers send it until the end of the run.
    REQUEST_CRASHES = "request_crashes"
    # A part of prompts that crashes endpoints. Callers send other requests with it.
    PROMPT_PART_CRASHES = "prompt_part_crashes"
    # Actions of an operator. The target is chosen among the existing keys or zones.
    KEY_REVOKED = "key_revoked"
    # Many versions of a large catalogue.
    CATALOGUE_GROWS = "catalogue_grows"
    ZONE_OUT = "zone_out"
    # All endpoints of one service have a queue of other work.
    ENDPOINTS_QUEUE = "endpoints_queue"
    # Callers open all new connections at one gateway, and open them more often.
    CONNECTIONS_CONCENTRATED = "connections_concentrated"
    # Some callers read long answers late, slowly or not at all.
    CALLERS_SLOW = "callers_slow"


GATEWAY_FAULTS = frozenset({FaultKind.TERMINATE, FaultKind.KILL, FaultKind.PAUSE})
LOG_LINK_FAULTS = frozenset(
    {
        FaultKind.LOG_DELAYED,
        FaultKind.LOG_RESET,
        FaultKind.LOG_SILENT,
        FaultKind.LOG_MUTE,
    }
)
ENDPOINT_LINK_FAULTS = frozenset(
    {
        FaultKind.ENDPOINT_DELAYED,
        FaultKind.ENDPOINT_RESET,
        FaultKind.ENDPOINT_SILENT,
        FaultKind.ENDPOINT_MUTE,
    }
)
DEPARTURES = frozenset({FaultKind.ENDPOINT_LEAVES, FaultKind.ENDPOINT_REMOVED})
LOG_FAULTS = frozenset(
    {
        FaultKind.LOG_AWAY,
        FaultKind.LOG_REFUSES,
        FaultKind.LOG_FORGETS,
        FaultKind.LOG_LOSES_REPLIES,
        FaultKind.LOG_RESTORED,
    }
)
DELAYING = frozenset({FaultKind.LOG_DELAYED, FaultKind.ENDPOINT_DELAYED})
RESETTING = frozenset({FaultKind.LOG_RESET, FaultKind.ENDPOINT_RESET})
# Bytes towards the server are discarded. The mute faults discard those from it.
SILENCING = frozenset({FaultKind.LOG_SILENT, FaultKind.ENDPOINT_SILENT})
# Faults without a duration: nothing has to be undone later.
INSTANTANEOUS = frozenset(
    {
        FaultKind.KILL,
        FaultKind.LOG_RESET,
        FaultKind.LOG_FORGETS,
        FaultKind.LOG_LOSES_REPLIES,
        FaultKind.ENDPOINT_RESET,
        FaultKind.ENDPOINT_CRASHES,
        FaultKind.ENDPOINT_LOSES_ANSWERS,
        FaultKind.KEY_REVOKED,
        FaultKind.REQUEST_CRASHES,
        FaultKind.PROMPT_PART_CRASHES,
    }
)
