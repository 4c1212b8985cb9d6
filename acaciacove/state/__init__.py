"""Shared state: log records, reducer, claims, billing, spread, membership."""
