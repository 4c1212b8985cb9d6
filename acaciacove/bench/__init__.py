"""Measurements of the decisions, the promises and the capacity."""
