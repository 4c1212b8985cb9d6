"""Roll-outs: a new version is judged while it gets a bounded share of requests."""
