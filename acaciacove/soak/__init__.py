"""Randomised soak tests: gateway processes under faults, checked from outside."""
