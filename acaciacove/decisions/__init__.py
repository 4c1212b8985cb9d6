"""Routing, cascade, roll-out, limit and fairness decisions as functions."""
