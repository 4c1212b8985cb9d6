"""Randomized runs of real processes under faults, judged from outside."""
