"""Bounds that a soak's operator sets: gateways are told them, checks hold to them."""

REVOCATION_S = 5.0
DRAIN_S = 2.0
ZONE_OUT_S = 5.0
GRACE_S = 8.0
CRASHES = 3
TRIES_AFTER_CRASHES = 3
RETRY_RATIO = 0.2
RETRY_EXTRA = 10.0
RETRY_WINDOW_S = 10.0
