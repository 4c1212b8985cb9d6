"""Relays the log: a few gateways read it, and the others read through them."""
