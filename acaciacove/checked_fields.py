"""Checked reading of the fields of records that other programs write.

A value that is returned can be used everywhere without a further check: as a name in a
log line or header field, as an address to connect to, as a number to calculate with.
Any other value raises ValueError with the field's name, what was expected and what was
found. ``MISSING`` as the default of a field means that the field is required.
"""

import math
import socket
from typing import Any, Final

MISSING: Final = object()
# Names are identifiers of a few dozen characters. The keys of the log have 255 bytes.
MAX_NAME_CHARS = 255
# JSON numbers above this are not exact in programs that read them as floats.
MAX_WHOLE_NUMBER = 2**53 - 1
IP_FAMILIES = (socket.AF_INET, socket.AF_INET6)
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# Of an unexpected value in an error message.
MAX_QUOTED_CHARS = 60

Document = dict[str, Any]


def read_name(document: Document, field: str) -> str:
    """Return a required name: printable ASCII without spaces at its ends."""
    return check_name(_value(document, field, MISSING), field)


def check_name(value: object, field: str) -> str:
    """Return a value that is a name, as ``read_name`` does."""
    if (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARS
        and value.isascii()
        and value.isprintable()
        and value.strip() == value
    ):
        return value
    raise unexpected(field, f"1 to {MAX_NAME_CHARS} printable characters", value)


def read_whole_number(
    document: Document,
    field: str,
    lowest: int = 0,
    highest: int = MAX_WHOLE_NUMBER,
    default: object = MISSING,
) -> int:
    """Return a whole number within bounds; a truth value is none."""
    value = _value(document, field, default)
    if type(value) is int and lowest <= value <= highest:
        return value
    raise unexpected(field, f"a whole number from {lowest} to {highest}", value)


def read_number(
    document: Document, field: str, lowest: float, default: object = MISSING
) -> float:
    """Return a finite number that is not below ``lowest``."""
    value = _value(document, field, default)
    if type(value) in (int, float) and math.isfinite(value) and value >= lowest:
        return float(value)
    raise unexpected(field, f"a finite number of at least {lowest}", value)


def read_ip(document: Document, field: str) -> str:
    """Return a required IP address."""
    value = _value(document, field, MISSING)
    if isinstance(value, str) and is_ip(value):
        return value
    raise unexpected(field, "an IP address", value)


def read_address(document: Document, field: str) -> tuple[str, int]:
    """Return host and port of a required address of the form IP:PORT."""
    value = _value(document, field, MISSING)
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if (
        is_ip(host)
        and port.isascii()
        and port.isdigit()
        and len(port) <= MAX_PORT_DIGITS
        and 1 <= int(port) <= MAX_PORT
    ):
        return host, int(port)
    raise unexpected(field, f"IP:PORT with a port from 1 to {MAX_PORT}", value)


def is_ip(host: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address in the usual notation."""
    return any(_is_of_family(host, family) for family in IP_FAMILIES)


def _is_of_family(host: str, family: socket.AddressFamily) -> bool:
    try:
        socket.inet_pton(family, host)
    except (OSError, ValueError):
        return False
    return True


def unexpected(field: str, expected: str, found: object) -> ValueError:
    """Return the error of a field that does not hold what was expected."""
    if found is MISSING:
        return ValueError(f"{field}: expected {expected}, but it is missing")
    shown = repr(found)
    if len(shown) > MAX_QUOTED_CHARS:
        shown = f"{shown[:MAX_QUOTED_CHARS]}... of {len(shown)} characters"
    return ValueError(
        f"{field}: expected {expected}, got {type(found).__name__} {shown}"
    )


def _value(document: Document, field: str, default: object) -> Any:
    return document.get(field, default)
