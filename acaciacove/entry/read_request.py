"""Parses an HTTP request into a CallerRequest or a Refusal."""

import asyncio
import math
from zlib import crc32

from starlette.requests import Request

from acaciacove.decisions.request_class import SERVICE_CLASS, classify_request
from acaciacove.entry import header_names
from acaciacove.entry.authenticate import authenticate
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.parse_chat import parse_chat
from acaciacove.entry.read_body import read_body
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version_id import VersionId, parse_version_id
from acaciacove.messages.header import Header
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

MAX_DEADLINE_S = 3600.0
MAX_NAME_CHARS = 200
CHARS_PER_TOKEN = 4
CHAT_PATH = "/v1/chat/completions"
CATCHING_UP = Refusal(
    Reason.STALE_REVISION,
    True,
    "the entry was paused and is catching up",
    1.0,
)
NOT_READY = Refusal(Reason.NOT_READY, True, "no release note is known yet", 1.0)
BILLING_BACKLOG_FULL = Refusal(
    Reason.OVERLOADED,
    True,
    "too many bills wait for the platform's log",
    5.0,
)
DRAINING = Refusal(Reason.DRAINING, True, "this instance is leaving", 0.0)


async def read_request(
    request: Request, entry: EntryState, request_id: str
) -> CallerRequest | Refusal:
    """Check the state of the entry, then headers, caller and body of a request."""
    arrived_s = asyncio.get_running_loop().time()
    refusal = _check_preconditions(request, entry)
    if refusal is not None:
        return refusal
    deadline_s = _deadline_s(request, entry.settings.default_deadline_s)
    if isinstance(deadline_s, Refusal):
        return deadline_s
    organisation = authenticate(
        entry.fleet_store.state, request.headers.get(header_names.AUTHORIZATION, "")
    )
    if isinstance(organisation, Refusal):
        return organisation
    body = await read_body(request, entry.settings.max_body_bytes, deadline_s)
    if isinstance(body, Refusal):
        return body
    parse = (
        _parse_chat_request if request.url.path == CHAT_PATH else _parse_service_call
    )
    return parse(request, entry, request_id, organisation, body, arrived_s + deadline_s)


def _check_preconditions(request: Request, entry: EntryState) -> Refusal | None:
    """Return the refusal of a request that can be refused without its body."""
    if entry.lifecycle.is_shutting_down and not entry.lifecycle.takes_work:
        return DRAINING
    if not entry.lifecycle.takes_work:
        return NOT_READY
    if not entry.shared.may_decide:
        return CATCHING_UP
    if not entry.billing.has_room:
        return BILLING_BACKLOG_FULL
    header_bytes = sum(len(name) + len(value) for name, value in request.headers.raw)
    if header_bytes > entry.settings.max_header_bytes:
        detail = f"headers are larger than {entry.settings.max_header_bytes} bytes"
        return Refusal(Reason.TOO_LARGE, True, detail)
    for name in (header_names.IDEMPOTENCY_KEY, header_names.SESSION_ID):
        value = request.headers.get(name, "")
        if len(value) > MAX_NAME_CHARS:
            detail = f"{name}: longer than {MAX_NAME_CHARS} characters"
            return Refusal(Reason.MALFORMED_REQUEST, True, detail)
    return None


def _deadline_s(request: Request, default_s: float) -> float | Refusal:
    """Return the caller's time-out, or the default if it sent none."""
    text = request.headers.get(header_names.TIMEOUT_S)
    if text is None:
        return default_s
    try:
        deadline_s = float(text)
    except ValueError:
        deadline_s = math.nan
    if 0 < deadline_s <= MAX_DEADLINE_S:
        return deadline_s
    detail = f"{header_names.TIMEOUT_S}: must be seconds up to {MAX_DEADLINE_S:.0f}"
    return Refusal(Reason.MALFORMED_REQUEST, True, detail)


def _parse_chat_request(
    request: Request,
    entry: EntryState,
    request_id: str,
    organisation: Organisation,
    body: bytes,
    deadline_at_s: float,
) -> CallerRequest | Refusal:
    """Parse a chat request."""
    chat = parse_chat(body)
    if isinstance(chat, Refusal):
        return chat
    api_and_version = _find_api(entry, chat.model)
    if isinstance(api_and_version, Refusal):
        return api_and_version
    api, requested_version = api_and_version
    prompt_tokens = chat.prompt_chars // CHARS_PER_TOKEN
    batch = _is_batch(request)
    return CallerRequest(
        request_id=request_id,
        organisation=organisation,
        api=api,
        deadline_at_s=deadline_at_s,
        path=CHAT_PATH,
        body=body,
        stream=chat.stream,
        batch=batch,
        session=request.headers.get(header_names.SESSION_ID, ""),
        pinned=_pinned_version(request, entry, organisation, api),
        requested_version=requested_version,
        estimated_tokens=prompt_tokens + chat.max_tokens,
        prefix_hash=f"{crc32(chat.first_message.encode()):08x}",
        request_class=classify_request(api, prompt_tokens, batch),
    )


def _pinned_version(
    request: Request, entry: EntryState, organisation: Organisation, api: Api
) -> VersionId | None:
    """Return the version that the caller's session is bound to, if any."""
    return entry.pins.pinned_version(
        entry.fleet_store.state,
        organisation,
        api,
        request.headers.get(header_names.SESSION_ID, ""),
        request.headers.get(header_names.SESSION_TOKEN, ""),
    )


def _find_api(entry: EntryState, model: str) -> tuple[Api, VersionId | None] | Refusal:
    """Find the API that a chat request names directly or by one of its versions."""
    fleet = entry.fleet_store.state
    api = fleet.apis.get(model)
    if api is not None and api.kind is ApiKind.MODEL:
        return api, None
    requested_version = parse_version_id(model)
    version = fleet.versions.get(requested_version) if requested_version else None
    if version is None or version.api not in fleet.apis:
        return Refusal(Reason.UNKNOWN_API, True, f"model: no API is called {model!r}")
    return fleet.apis[version.api], version.id


def _parse_service_call(
    request: Request,
    entry: EntryState,
    request_id: str,
    organisation: Organisation,
    body: bytes,
    deadline_at_s: float,
) -> CallerRequest | Refusal:
    """Parse a call of a service."""
    name = request.path_params["api"]
    api = entry.fleet_store.state.apis.get(name)
    if api is None or api.kind is not ApiKind.SERVICE:
        return Refusal(Reason.UNKNOWN_API, True, f"no service is called {name!r}")
    call = CallerRequest(
        request_id=request_id,
        organisation=organisation,
        api=api,
        deadline_at_s=deadline_at_s,
        method=request.method,
        path=_service_path(request),
        headers=_forwarded_headers(request),
        body=body,
        batch=_is_batch(request),
        session=request.headers.get(header_names.SESSION_ID, ""),
        idempotency_key=request.headers.get(header_names.IDEMPOTENCY_KEY, ""),
        estimated_tokens=1,
        request_class=SERVICE_CLASS,
    )
    if call.non_idempotent and not call.idempotency_key:
        detail = "this call may not be repeated: send an Idempotency-Key"
        return Refusal(Reason.KEY_REQUIRED, True, detail)
    return call


def _service_path(request: Request) -> str:
    """Return path and query as sent to the service."""
    path = "/" + request.path_params["path"]
    return f"{path}?{request.url.query}" if request.url.query else path


def _forwarded_headers(request: Request) -> tuple[Header, ...]:
    """Return the headers that are forwarded to the service."""
    return tuple(
        Header(name, value)
        for name, value in request.headers.items()
        if name not in header_names.NOT_FORWARDED
    )


def _is_batch(request: Request) -> bool:
    return request.headers.get(header_names.PRIORITY, "") == header_names.BATCH_PRIORITY
