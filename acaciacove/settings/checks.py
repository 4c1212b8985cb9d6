"""Checks of single values; each returns a fault message or None."""

import math
from collections.abc import Callable
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

Check = Callable[[Any], str | None]

CHECK = "check"
MAX_PORT = 65_535
MIN_SECRET_LENGTH = 16
URL_SCHEMES = ("http", "https")


def check(value_check: Check) -> dict[str, Check]:
    """Make the field metadata that holds the check of a field."""
    return {CHECK: value_check}


def is_name(value: str) -> str | None:
    """Accept text that is not empty and contains no white space."""
    if not value:
        return "must not be empty"
    if any(c.isspace() for c in value):
        return f"must not contain blanks: {value!r}"
    return None


def is_ip_address(value: str) -> str | None:
    """Accept an IPv4 or IPv6 address; processes do not resolve host names."""
    try:
        ip_address(value)
    except ValueError:
        return f"must be an IP number such as 10.0.0.7, not {value!r}"
    return None


def is_port(value: int) -> str | None:
    """Accept a port; 0 lets the operating system choose one."""
    if 0 <= value <= MAX_PORT:
        return None
    return f"must be a port from 0 to {MAX_PORT}, not {value}"


def is_url_or_empty(value: str) -> str | None:
    """Accept an HTTP URL with a host, or empty text."""
    if not value:
        return None
    try:
        parts = urlsplit(value)
        parts.port  # noqa: B018  # raises if the port is invalid
    except ValueError as error:
        return f"must be an HTTP URL, not {value!r} ({error})"
    if parts.scheme in URL_SCHEMES and parts.hostname:
        return None
    return f"must be a URL such as http://10.0.0.7:8080, not {value!r}"


def is_url(value: str) -> str | None:
    """Accept an HTTP URL with a host."""
    return is_url_or_empty(value) if value else "must not be empty"


def is_share(value: float) -> str | None:
    """Accept a number from 0 to 1."""
    return None if 0.0 <= value <= 1.0 else f"must be from 0 to 1, not {value}"


def is_positive(value: float) -> str | None:
    """Accept a finite number above 0."""
    if math.isfinite(value) and value > 0:
        return None
    return f"must be above 0, not {value}"


def is_secret(value: str) -> str | None:
    """Accept empty text, or a secret too long to guess; never quotes it."""
    if not value or len(value) >= MIN_SECRET_LENGTH:
        return None
    return f"must have at least {MIN_SECRET_LENGTH} characters"


def at_least(minimum: int) -> Check:
    """Make a check for numbers that are not below a minimum."""

    def check_minimum(value: float) -> str | None:
        if math.isfinite(value) and value >= minimum:
            return None
        return f"must be a finite number, {minimum} or more, not {value}"

    return check_minimum


def optional(value_check: Check) -> Check:
    """Make a check that accepts None, or what another check accepts."""

    def check_optional(value: Any) -> str | None:
        return None if value is None else value_check(value)

    return check_optional


def one_of(*choices: str) -> Check:
    """Make a check for one of a fixed set of words."""

    def check_choice(value: str) -> str | None:
        listed = ", ".join(choices)
        return None if value in choices else f"must be one of {listed}, not {value!r}"

    return check_choice
