"""Names of header fields, paths, streams and keys on the platform."""

from acaciacove.gateway.log_stream import LogStream

REQUEST_ID = b"acaciacove-attempt-id"
DEADLINE_MS = b"acaciacove-deadline-ms"
# Set by callers and passed on; with the model "*" the gateway chooses one.
MODEL = b"acaciacove-model"
# "INPUT_TOKENS,MAX_OUTPUT_TOKENS".
TOKENS = b"acaciacove-token-usage"
# "ID:TOKENS,ID:TOKENS", in prompt order.
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

# Set by endpoints on responses. The "signature" is only a receipt: it shows that an
# endpoint produced the response, and is no cryptographic signature.
RECEIPT = b"acaciacove-response-signature"
NOT_RUN = b"acaciacove-not-executed"
LOAD = b"acaciacove-replica-load"
CONFIDENCE = b"acaciacove-confidence"
# Requests per second that the endpoint accepts from all gateways together.
RATE_LIMIT = b"server-limit"
# "1" in every response of an endpoint that leaves.
LEAVING = b"server-leaving"
# Seconds, with a 503: the endpoint wants nothing from this gateway for so long.
RETRY_AFTER = b"retry-after"
KEEP_ALIVE = b"keep-alive"
CONTENT_ENCODING = b"content-encoding"

# Never passed on from a caller, which could otherwise impersonate the gateway and claim
# another caller's cache, another organisation or a priority.
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

# The history of the log: it rises by one when the log returns from a copy.
ERA_FIELD = b"store-era"

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
