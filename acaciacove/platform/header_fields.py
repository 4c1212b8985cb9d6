"""Decoding and encoding of header fields of requests and responses."""

import math

from acaciacove.gateway.choice.prompt import Prompt
from acaciacove.gateway.choice.stated_limit import MAX_RATE_PER_S
from acaciacove.gateway.http.caller_hints import CallerHints
from acaciacove.gateway.http.dialect import Dialect, RawHeaders
from acaciacove.gateway.http.forward_hints import ForwardHints
from acaciacove.gateway.http.load_report import LoadReport
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.platform import names

MS = 1000.0
Header = tuple[bytes, bytes]


def read_hints(headers: RawHeaders) -> CallerHints:
    """Decode a caller's fields; an unreadable one counts as absent."""
    fields = _first_values(headers)
    model = fields.get(names.MODEL)
    return CallerHints(
        request_id=fields.get(names.REQUEST_ID),
        api_key=_api_key(fields.get(names.AUTHORIZATION)),
        deadline_s=_deadline_s(fields.get(names.DEADLINE_MS)),
        model=None if model in (None, names.ANY_MODEL) else model,
        prompt=_prompt(fields.get(names.PROMPT_PARTS), fields.get(names.TOKENS)),
        last_event_id=fields.get(names.LAST_EVENT_ID),
        session=fields.get(names.SESSION),
    )


def forward_headers(headers: RawHeaders, hints: ForwardHints) -> list[Header]:
    """Build the fields of a forwarded request.

    The caller's fields are passed on, except hop-by-hop fields, its API key, and the
    fields that only the gateway sets.
    """
    fields = dict(headers)
    dropped = names.HOP_BY_HOP | names.GATEWAY_ONLY | _connection_options(fields)
    dropped |= {names.AUTHORIZATION, names.DEADLINE_MS, b"content-length"}
    if hints.model is not None:
        dropped |= {names.MODEL}
    if hints.last_event_id is not None:
        dropped |= {names.LAST_EVENT_ID}
    passed_on = [(name, value) for name, value in headers if name not in dropped]
    return passed_on + _gateway_fields(hints)


def _connection_options(fields: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the field names that are listed in the Connection field.

    Host and the request ID are always passed on, even if they are listed there.
    """
    listed = fields.get(b"connection", b"").split(b",")
    named = frozenset(word.strip().lower() for word in listed)
    return named - {b"host", names.REQUEST_ID}


def _gateway_fields(hints: ForwardHints) -> list[Header]:
    remaining_ms = max(1, int(hints.time_left_s * MS))
    fields = [
        (names.DEADLINE_MS, str(remaining_ms).encode()),
        (names.EXPECTED_INSTANCE, hints.instance.encode()),
    ]
    optional = (
        (names.ORGANISATION, hints.organisation),
        (names.MODEL, hints.model),
        (names.PRIORITY, hints.priority),
        (names.LAST_EVENT_ID, hints.last_event_id),
    )
    fields += [
        (name, str(value).encode()) for name, value in optional if value is not None
    ]
    return fields


def read_response(status: int, reason: bytes, headers: RawHeaders) -> ResponseHead:
    """Decode the head of a response."""
    fields = _first_values(headers)
    connection = fields.get(b"connection", "")
    dropped = names.HOP_BY_HOP | _connection_options(
        {b"connection": connection.encode()}
    )
    unreadable: list[str] = []
    return ResponseHead(
        status=status,
        reason=reason,
        headers=tuple((n, v) for n, v in headers if n not in dropped),
        request_id=fields.get(names.REQUEST_ID),
        has_receipt=names.RECEIPT in fields,
        not_run=names.NOT_RUN in fields or status == MISDIRECTED_REQUEST,
        confidence=_number(fields.get(names.CONFIDENCE)),
        load=_load(fields.get(names.LOAD), unreadable),
        idle_timeout_s=_idle_timeout_s(fields.get(names.KEEP_ALIVE)),
        encoded=names.CONTENT_ENCODING in fields,
        misdirected=status == MISDIRECTED_REQUEST,
        rate_limit_per_s=_rate(fields.get(names.RATE_LIMIT), unreadable),
        leaving=_leaving(fields.get(names.LEAVING), unreadable),
        rest_s=_rest_s(status, fields.get(names.RETRY_AFTER), unreadable),
        unreadable=tuple(unreadable),
    )


# An endpoint that is not the expected instance indicates it by this status alone.
MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503
# A longer rest is more likely a fault of the endpoint than its wish.
MAX_REST_S = 86_400.0
MAX_LOGGED_VALUE_CHARS = 40
# A reported count has at most this many digits. A longer one is a fault, and too many
# digits cannot be converted to a float.
MAX_COUNT_DIGITS = 9
PERCENT = 100.0
MAX_PACE_PERCENT = 100_000
LOAD_FIGURES = "running,waiting,slots[,pace in percent]"


def _first_values(headers: RawHeaders) -> dict[bytes, str]:
    fields: dict[bytes, str] = {}
    for name, value in headers:
        fields.setdefault(name, value.decode("latin-1").strip())
    return fields


def _api_key(text: str | None) -> str | None:
    if text is None or not text.lower().startswith(names.BEARER):
        return None
    return text[len(names.BEARER) :].strip()


def _number(text: str | None) -> float | None:
    try:
        value = float(text) if text is not None else None
    except ValueError:
        return None
    return value if value is not None and math.isfinite(value) else None


def _rate(text: str | None, unreadable: list[str]) -> float | None:
    """Return the stated rate; adds to ``unreadable`` what is none."""
    value = _number(text)
    if value is not None and 0 <= value <= MAX_RATE_PER_S:
        return value
    if text is not None:
        expected = f"0 to {MAX_RATE_PER_S:.0f} requests/s"
        unreadable.append(_describe(names.RATE_LIMIT, expected, text))
    return None


def _leaving(text: str | None, unreadable: list[str]) -> bool:
    """Return whether the endpoint leaves; adds to ``unreadable`` any other value."""
    if text not in (None, "0", "1"):
        unreadable.append(_describe(names.LEAVING, "0 or 1", text))
    return text == "1"


def _rest_s(status: int, text: str | None, unreadable: list[str]) -> float | None:
    """Return the rest that a 503 asks for; adds to ``unreadable`` what is none."""
    if status != SERVICE_UNAVAILABLE or text is None:
        return None
    value = _number(text)
    if value is None or not 0 <= value <= MAX_REST_S:
        expected = f"0 to {MAX_REST_S:.0f} seconds"
        unreadable.append(_describe(names.RETRY_AFTER, expected, text))
        return None
    return value


def _describe(name: bytes, expected: str, text: str | None) -> str:
    shown = (text or "")[:MAX_LOGGED_VALUE_CHARS]
    return f"{name.decode()}: expected {expected}, got {shown!r}"


def _deadline_s(text: str | None) -> float | None:
    value = _number(text)
    return None if value is None else max(0.0, value / MS)


def _prompt(parts_text: str | None, tokens_text: str | None) -> Prompt | None:
    try:
        input_tokens, max_output = (
            _token_count(word) for word in (tokens_text or "0,0").split(",")[:2]
        )
        parts = tuple(
            (part.split(":")[0].strip(), _token_count(part.split(":")[1]))
            for part in (parts_text or "").split(",")
            if part.strip()
        )
    except (ValueError, IndexError):
        return None
    if not parts and not input_tokens:
        return None
    return Prompt(parts=parts, input_tokens=input_tokens, max_output_tokens=max_output)


def _token_count(word: str) -> int:
    count = _count(word)
    if count is None:
        raise ValueError(f"expected a count of tokens, got {len(word)} characters")
    return count


def _load(text: str | None, unreadable: list[str]) -> LoadReport | None:
    """Return the reported load; adds to ``unreadable`` any other value.

    Figures after the fourth are ignored: later versions of endpoints may add some.
    """
    if text is None:
        return None
    counts = [_count(word) for word in text.split(",")[:4]]
    if len(counts) >= 3 and None not in counts:
        running, waiting, slots, *pace_percent = [c for c in counts if c is not None]
        has_valid_pace = all(0 < pace <= MAX_PACE_PERCENT for pace in pace_percent)
        if slots >= 1 and has_valid_pace:
            pace = pace_percent[0] / PERCENT if pace_percent else None
            return LoadReport(running, waiting, slots, pace)
    unreadable.append(_describe(names.LOAD, LOAD_FIGURES, text))
    return None


def _count(word: str) -> int | None:
    digits = word.strip()
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_COUNT_DIGITS):
        return None
    return int(digits)


def _idle_timeout_s(text: str | None) -> float | None:
    for word in (text or "").split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout":
            return _number(value)
    return None


DIALECT = Dialect(
    read_hints=read_hints,
    forward_headers=forward_headers,
    read_response=read_response,
    readiness_path=names.READINESS_PATH,
)
