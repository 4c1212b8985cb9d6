"""The entry daemon: tasks around the decisions, towards callers."""
