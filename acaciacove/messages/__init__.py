"""Types of the messages between processes and tasks, one per module."""
