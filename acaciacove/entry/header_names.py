"""Names of the HTTP headers that callers send and receive."""

AUTHORIZATION = "authorization"
IDEMPOTENCY_KEY = "idempotency-key"
TIMEOUT_S = "x-timeout-s"
SESSION_ID = "x-session-id"
SESSION_TOKEN = "x-session-token"
PRIORITY = "x-priority"
REQUEST_ID = "x-request-id"
VERSION = "x-version"
ENDPOINT = "x-endpoint"
COST = "x-cost"

BATCH_PRIORITY = "batch"

# Headers of one connection or of acaciacove itself, not for the endpoint.
NOT_FORWARDED = frozenset(
    {
        AUTHORIZATION,
        SESSION_TOKEN,
        REQUEST_ID,
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
