"""Bounds of a soak: gateways are configured with them or checked against them."""

REVOCATION_S = 5.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
PROPAGATION_S = 2.0
ZONE_OUT_S = 5.0
GRACE_S = 8.0
CRASH_THRESHOLD = 3
MAX_ATTEMPTS_AFTER_CRASHES = 3
# The same for requests with a part of their prompts that crashes endpoints.
PART_CRASH_THRESHOLD = 5
# Requests without the part begin at their first attempt at least this share as often as
# without it, once two settling times have passed.
MIN_SOUND_SHARE = 0.5
MIN_SOUND_CALLS = 20
# While most new connections go to one gateway, requests are served at their first
# attempt at least this share as often as otherwise.
MIN_CONCENTRATED_SHARE = 0.75
LIMIT_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_EXTRA = 5
# A gateway counts as informed of a limit this long after its first answer from the
# endpoint; what it sends before that is not counted.
LIMIT_NOTICE_S = 0.5
REST_S = 3.0
# How long callers give a request, and the longest Retry-After of overload control.
CALLER_TIME_S = 3.0
MAX_RETRY_AFTER_S = CALLER_TIME_S / 3.0
# A quarter of it holds a few of the answers that slow callers leave unread.
MEMORY_LIMIT_BYTES = 4_000_000
# Four events of this size are more than the kernel buffers for a slow caller.
LONG_EVENT_BYTES = 40_000
# Requests to an endpoint that reach it within its rest, from this long after it has
# asked for it, may be no more than so many from one gateway.
REST_NOTICE_S = 0.5
REQUESTS_IN_REST = 2
# The rate at which the log's responses are sent: a link of 10 Mbit/s.
LINK_BYTES_PER_S = 1.25e6
RETRY_RATIO = 0.2
RETRY_EXTRA = 10.0
RETRY_WINDOW_S = 10.0
