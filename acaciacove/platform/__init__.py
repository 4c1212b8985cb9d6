"""Adapter to the users' platform: its names, formats and calls.

No routing decisions are made here.
"""
