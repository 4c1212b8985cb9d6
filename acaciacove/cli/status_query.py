"""What queries for the status of entries, sidecars and gateways have in common."""

NO_ANSWER = "no answer"
BAD_ANSWER = "answered something else than a status"


def status_url(host: str, port: int | str) -> str:
    """Return the URL of a process's status; an IPv6 address may be in brackets."""
    if ":" in host and not host.startswith("["):
        host = f"[{host}]"
    return f"http://{host}:{port}/status"
