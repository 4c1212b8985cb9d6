"""Framing and codec of messages between the system's own processes."""
