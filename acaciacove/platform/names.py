"""Header fields, paths and streams as the platform spells them."""

from acaciacove.gateway.log_stream import LogStream

REQUEST_ID = b"acaciacove-attempt-id"
DEADLINE_MS = b"acaciacove-deadline-ms"
# Sent by callers and passed on; "*" as model asks the gateway to choose.
MODEL = b"acaciacove-model"
# "input tokens,most output tokens".
TOKENS = b"acaciacove-token-usage"
# "ID:TOKENS,ID:TOKENS" in the order of the prompt.
PROMPT_PARTS = b"acaciacove-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
BEARER = "bearer "
SESSION = b"session"
ANY_MODEL = "*"

# Set by the gateway on what it sends to an endpoint.
ORGANISATION = b"acaciacove-tenant"
EXPECTED_INSTANCE = b"acaciacove-expected-instance"
PRIORITY = b"acaciacove-request-priority"
EXPECTED_VERSION = b"acaciacove-expected-version"
PIN_MS = b"acaciacove-pin-duration-ms"
HOLD = b"acaciacove-cache-hold"
BACKUP = b"acaciacove-kv-backup"
RESUME_FROM = b"kv-from"
FETCH_FROM = b"kv-fetch"

# Set by endpoints on answers. The "signature" is a receipt: it shows that an
# endpoint made the answer, and signs nothing.
RECEIPT = b"acaciacove-response-signature"
NOT_RUN = b"acaciacove-not-executed"
LOAD = b"acaciacove-replica-load"
CONFIDENCE = b"acaciacove-confidence"
# Requests a second that the endpoint takes from all gateways together.
RATE_LIMIT = b"server-limit"
KEEP_ALIVE = b"keep-alive"
CONTENT_ENCODING = b"content-encoding"

# A caller that could set these would speak in the gateway's name: claim
# somebody's memory, another organisation, or a priority.
GATEWAY_ONLY = frozenset(
    {
        ORGANISATION,
        EXPECTED_INSTANCE,
        PRIORITY,
        EXPECTED_VERSION,
        PIN_MS,
        HOLD,
        BACKUP,
        RESUME_FROM,
        FETCH_FROM,
        b"acaciacove-instance-id",
        b"acaciacove-cold-start-ms",
        b"acaciacove-not-executed",
        b"acaciacove-response-signature",
    }
)
# Fields that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)

READINESS_PATH = "/-/readiness"

STREAMS = {
    LogStream.OPERATOR: "keyed.op",
    LogStream.ENDPOINTS: "keyed.servers",
    LogStream.OUTCOMES: "keyed.status",
    LogStream.MEMBERS: "keyed.members",
    LogStream.QUARANTINE: "keyed.quarantine",
}

CATALOGUE_KEY = "config"
ROLLOUT_KEY = "rollout/"
ZONE_OUT_KEY = "evacuate/"
