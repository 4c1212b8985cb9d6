"""Sends one request to one endpoint and reads its response."""

import asyncio
from typing import Any

import h11
from attrs import define

from acaciacove.gateway.choice.weigh_endpoint import shared_keys, unread_tokens
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.endpoint_states import endpoint_id
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.answer_head import AnswerHead
from acaciacove.gateway.http.endpoint_connection import EndpointConnection
from acaciacove.gateway.http.errors import BadAnswerError, ConnectionLostError
from acaciacove.gateway.http.forward_hints import ForwardHints
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress, kind_cell
from acaciacove.gateway.work import Work
from acaciacove.messages.work_sent import WorkSent

# Responses to earlier requests that are skipped on one connection before it is
# abandoned.
MAX_FOREIGN_ANSWERS = 3


@define(eq=False)
class Exchange:
    """One request in progress at an endpoint.

    ``uncached_tokens`` is the part of the prompt that the endpoint has to process, and
    ``backlog_id`` identifies the request in the endpoint's backlog. ``rollout`` is the
    roll-out that the response is evidence for, and ``evidence_id`` identifies the
    request there. ``connection`` is None before one is made. ``sent`` is set before the
    first byte is sent: from then on the endpoint may run the request. ``complete`` is
    set when the complete response has been read.
    """

    gateway: Gateway
    work: Work
    state: EndpointState
    connection: EndpointConnection | None = None
    sent: bool = False
    complete: bool = False
    began_s: float = 0.0
    unread_tokens: float = 0.0
    piece_number: int = 0
    predicted_s: float = 0.0
    rollout: RolloutProgress | None = None
    awaited: int = 0

    async def open(self, timeout_s: float) -> None:
        """Acquire a connection; raises ConnectFailedError."""
        once = not self.work.route.may_repeat
        self.connection = await self.state.pool.take(once, timeout_s)

    def send(self) -> None:
        """Write the request; raises ConnectionLostError."""
        assert self.connection is not None
        work = self.work
        now_s = asyncio.get_running_loop().time()
        self.began_s = now_s
        hints = ForwardHints(
            instance=self.state.endpoint.instance,
            time_left_s=work.until_s - now_s,
            organisation=work.organisation.name if work.organisation else None,
            model=work.model,
            priority=work.priority if work.service.model_costs else None,
            last_event_id=work.last_event_id,
        )
        request = work.request
        headers = self.gateway.dialect.forward_headers(request.headers, hints)
        if request.body or _had_body(request.headers):
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        self.sent = True
        self._await_first_piece(now_s)
        self._await_evidence(now_s)
        self.connection.send_request(
            h11.Request(method=request.method, target=request.target, headers=headers),
            request.body,
        )

    def _await_first_piece(self, now_s: float) -> None:
        """Add the request to the endpoint's backlog and gossip it to the peers."""
        prompt = self.work.request.hints.prompt
        if prompt is None:
            return
        gateway, work, state = self.gateway, self.work, self.state
        keys = shared_keys(prompt, work.model)
        self.unread_tokens = unread_tokens(state, prompt, keys, 0.0)
        pace = gateway.reading_pace(work.service.name, work.model)
        self.piece_number = gateway.next_number()
        work_s = pace.predict_s(self.unread_tokens)
        self.predicted_s = state.backlog.wait_s(now_s, 0.0) + work_s
        state.backlog.send(self.piece_number, work_s, now_s)
        state.remember_parts(keys)
        endpoint = endpoint_id(state.endpoint.instance)
        gateway.tell_work(WorkSent(endpoint, work_s, keys), now_s)

    def note_first_piece(self, now_s: float) -> None:
        """Update backlog and prefill latency as the response head arrives."""
        took_s = self.state.backlog.answer(self.piece_number, now_s)
        if took_s is not None:
            work = self.work
            pace = self.gateway.reading_pace(work.service.name, work.model)
            pace.learn(self.unread_tokens, took_s)

    def _await_evidence(self, now_s: float) -> None:
        work, endpoint = self.work, self.state.endpoint
        self.rollout = self.gateway.rollouts.get(work.service.name)
        if self.rollout is not None:
            self.awaited = self.rollout.await_answer(
                is_target=endpoint.version == self.rollout.order.target,
                kind=kind_cell(work.route.name, work.model),
                endpoint=endpoint.instance,
                now_s=now_s,
            )

    def count_evidence(self, failed: bool, first_piece_s: float | None) -> None:
        """Record the response as evidence for a roll-out."""
        if self.rollout is not None:
            self.rollout.take_answer(self.awaited, failed, first_piece_s)

    async def read_head(self) -> AnswerHead:
        """Return the head of the response to this request.

        A response with another request's id is skipped: an endpoint may send a second
        response late, where the next one is expected.
        """
        assert self.connection is not None
        for _ in range(MAX_FOREIGN_ANSWERS + 1):
            event = await self._next_final_event()
            headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
            head = self.gateway.dialect.read_answer(
                event.status_code, bytes(event.reason), headers
            )
            own = self.work.request.hints.request_id
            if own is None or head.request_id in (own, None):
                return head
            await self.connection.skip_answer()
        raise BadAnswerError(
            f"expected a response to request {own} from {self.state.endpoint.instance},"
            " got only responses to other requests"
        )

    async def _next_final_event(self) -> h11.Response:
        assert self.connection is not None
        while True:
            event = await self.connection.next_answer_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionLostError(
                    f"expected a response head from {self.state.endpoint.instance},"
                    f" got {type(event).__name__}"
                )
            return event

    async def next_event(self) -> Any:
        """Return the next body data, or None at the end of the response."""
        assert self.connection is not None
        while True:
            event = await self.connection.next_answer_event()
            if isinstance(event, h11.EndOfMessage):
                self.complete = True
                return None
            if isinstance(event, h11.Data):
                return bytes(event.data)

    async def read_whole(self, limit_bytes: int) -> bytes | None:
        """Return the complete body, or None when it exceeds the limit."""
        pieces: list[bytes] = []
        size = 0
        while (data := await self.next_event()) is not None:
            pieces.append(data)
            size += len(data)
            if size > limit_bytes:
                return None
        return b"".join(pieces)

    def close(self) -> None:
        """Release the connection, or close it if the response is not complete."""
        now_s = asyncio.get_running_loop().time()
        self.state.backlog.drop(self.piece_number, now_s)
        if self.rollout is not None:
            self.rollout.forget(self.awaited, now_s)
        if self.connection is not None:
            self.state.pool.give_back(self.connection, self.complete)
            self.connection = None


def _had_body(headers: tuple[tuple[bytes, bytes], ...]) -> bool:
    """Return whether the caller framed a body, even an empty one."""
    return any(n in (b"content-length", b"transfer-encoding") for n, _ in headers)
