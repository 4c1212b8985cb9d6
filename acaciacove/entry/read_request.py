"""Turns an HTTP request into a CallerRequest, or into the refusal it earns."""

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
WAS_PAUSED = Refusal(
    Reason.STALE_REVISION, True, "the entry was paused and is catching up", 1.0
)
NOT_READY = Refusal(Reason.NOT_READY, True, "no release note is known yet", 1.0)
NO_ROOM = Refusal(
    Reason.OVERLOADED, True, "too many bills wait for the platform's log", 5.0
)
DRAINING = Refusal(Reason.DRAINING, True, "this instance is leaving", 0.0)


async def read_request(
    request: Request, entry: EntryState, request_id: str
) -> CallerRequest | Refusal:
    """Check a request from the outside in: state, headers, caller, body."""
    arrived_s = asyncio.get_running_loop().time()
    refusal = _refuse_early(request, entry)
    if refusal is not None:
        return refusal
    deadline_s = _deadline_s(request, entry.settings.default_deadline_s)
    if isinstance(deadline_s, Refusal):
        return deadline_s
    organisation = authenticate(
        entry.holder.state, request.headers.get(header_names.AUTHORIZATION, "")
    )
    if isinstance(organisation, Refusal):
        return organisation
    body = await read_body(request, entry.settings.max_body_bytes, deadline_s)
    if isinstance(body, Refusal):
        return body
    read = _read_chat if request.url.path == CHAT_PATH else _read_service_call
    return read(request, entry, request_id, organisation, body, arrived_s + deadline_s)


def _refuse_early(request: Request, entry: EntryState) -> Refusal | None:
    """Refuse what needs no look at the body."""
    if entry.lifecycle.is_shutting_down and not entry.lifecycle.takes_work:
        return DRAINING
    if not entry.lifecycle.takes_work:
        return NOT_READY
    if not entry.shared.may_decide:
        return WAS_PAUSED
    if not entry.billing.has_room:
        return NO_ROOM
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
    """Read how long the caller will wait."""
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


def _read_chat(
    request: Request,
    entry: EntryState,
    request_id: str,
    organisation: Organisation,
    body: bytes,
    deadline_at_s: float,
) -> CallerRequest | Refusal:
    """Read a request for a model."""
    chat = parse_chat(body)
    if isinstance(chat, Refusal):
        return chat
    named = _api_of_model(entry, chat.model)
    if isinstance(named, Refusal):
        return named
    api, explicit = named
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
        pinned=_pinned(request, entry, organisation, api),
        explicit=explicit,
        estimated_tokens=prompt_tokens + chat.max_tokens,
        prefix_hash=f"{crc32(chat.first_message.encode()):08x}",
        request_class=classify_request(api, prompt_tokens, batch),
    )


def _pinned(
    request: Request, entry: EntryState, organisation: Organisation, api: Api
) -> VersionId | None:
    """Return the version that the caller's session keeps."""
    return entry.pins.pinned_version(
        entry.holder.state,
        organisation,
        api,
        request.headers.get(header_names.SESSION_ID, ""),
        request.headers.get(header_names.SESSION_TOKEN, ""),
    )


def _api_of_model(
    entry: EntryState, model: str
) -> tuple[Api, VersionId | None] | Refusal:
    """Find the API that a chat request names, by itself or by a version."""
    fleet = entry.holder.state
    api = fleet.apis.get(model)
    if api is not None and api.kind is ApiKind.MODEL:
        return api, None
    explicit = parse_version_id(model)
    version = fleet.versions.get(explicit) if explicit else None
    if version is None or version.api not in fleet.apis:
        return Refusal(Reason.UNKNOWN_API, True, f"model: no API is called {model!r}")
    return fleet.apis[version.api], version.id


def _read_service_call(
    request: Request,
    entry: EntryState,
    request_id: str,
    organisation: Organisation,
    body: bytes,
    deadline_at_s: float,
) -> CallerRequest | Refusal:
    """Read a call of a plain service."""
    name = request.path_params["api"]
    api = entry.holder.state.apis.get(name)
    if api is None or api.kind is not ApiKind.SERVICE:
        return Refusal(Reason.UNKNOWN_API, True, f"no service is called {name!r}")
    call = CallerRequest(
        request_id=request_id,
        organisation=organisation,
        api=api,
        deadline_at_s=deadline_at_s,
        method=request.method,
        path=_service_path(request),
        headers=_forwarded(request),
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
    """Return path and query as the service knows them."""
    path = "/" + request.path_params["path"]
    return f"{path}?{request.url.query}" if request.url.query else path


def _forwarded(request: Request) -> tuple[Header, ...]:
    """List the headers that a service gets to see."""
    return tuple(
        Header(name, value)
        for name, value in request.headers.items()
        if name not in header_names.NOT_FORWARDED
    )


def _is_batch(request: Request) -> bool:
    return request.headers.get(header_names.PRIORITY, "") == header_names.BATCH
