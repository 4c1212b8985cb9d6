"""Decisions of operators and records of endpoints, as typed values."""
