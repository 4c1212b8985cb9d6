"""Shared state: log records, reducer, claims, billing, gossip and membership."""
