"""The gateway: a front for any HTTP API, routed by an operator's catalogue."""
