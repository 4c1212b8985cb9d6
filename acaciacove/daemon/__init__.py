"""What both daemons share: lifecycle, logs, metrics, servers, the release tail."""
