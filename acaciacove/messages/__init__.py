"""The typed messages that processes and tasks exchange, one a file."""
