"""Framing and codec of the messages between processes."""
