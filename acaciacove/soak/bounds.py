"""Bounds that a soak's operator sets: gateways are told them, checks hold to them."""

REVOCATION_S = 5.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
ZONE_OUT_S = 5.0
GRACE_S = 8.0
CRASH_THRESHOLD = 3
MAX_ATTEMPTS_AFTER_CRASHES = 3
LIMIT_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_EXTRA = 5
# What a gateway sends later than this after it got an answer counts as told.
LIMIT_NOTICE_S = 0.5
RETRY_RATIO = 0.2
RETRY_EXTRA = 10.0
RETRY_WINDOW_S = 10.0
