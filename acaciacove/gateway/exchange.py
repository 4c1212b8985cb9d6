"""Sends one request to one endpoint and reads its response."""

import asyncio
from typing import Any

import h11
from attrs import define, field

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.gateway.choice.prefix_affinity import prefix_keys, uncached_tokens
from acaciacove.gateway.confirm_response import confirm_response
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.endpoint_states import endpoint_id
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.endpoint_connection import EndpointConnection
from acaciacove.gateway.http.errors import ConnectionLostError, InvalidResponseError
from acaciacove.gateway.http.forward_hints import ForwardHints
from acaciacove.gateway.http.response_framing import is_close_delimited
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.overload_waits import record_end, record_head, record_sent
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress, kind_cell_name
from acaciacove.messages.work_sent import WorkSent

# Responses to earlier requests that are skipped on one connection before it is
# abandoned.
MAX_SKIPPED_RESPONSES = 3
MAX_LOGGED_ID_CHARS = 40
# The queue that a new request finds is known from a load report of the last 0.6 s.
RECENT_FRESHNESS = 0.8


@define(eq=False)
class Exchange:
    """One request in progress at an endpoint.

    ``uncached_tokens`` is the part of the prompt that the endpoint has to process, and
    ``backlog_id`` identifies the request in the endpoint's backlog, ``wait_id`` among
    those whose waits are observed. ``is_wait_short`` is set if the known prompts before
    it take no longer than its own. ``rollout`` is the roll-out that the response is
    evidence for, and ``evidence_id`` identifies the
    request there. ``connection`` is None before one is made. ``sent`` is set before the
    first byte is sent: from then on the endpoint may run the request. ``complete`` is
    set when the complete response has been read, and ``is_close_delimited`` if only the
    end of the connection marks the end of its body. ``kept`` counts the bytes of the
    response that are kept here: a body or an event that is not complete yet.
    """

    gateway: Gateway
    context: RequestContext
    state: EndpointState
    connection: EndpointConnection | None = None
    sent: bool = False
    complete: bool = False
    is_close_delimited: bool = False
    sent_at_s: float = 0.0
    uncached_tokens: float = 0.0
    backlog_id: int = 0
    is_wait_short: bool = True
    wait_id: int = 0
    predicted_s: float = 0.0
    work_s: float = 0.0
    waiting_at_send: int | None = None
    rollout: RolloutProgress | None = None
    evidence_id: int = 0
    kept: ByteAccount = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count kept bytes in the gateway's budget."""
        self.kept = ByteAccount(self.gateway.held.budget)

    async def open(self, timeout_s: float) -> None:
        """Acquire a connection; raises ConnectFailedError."""
        non_idempotent = not self.context.route.may_repeat
        used = self.context.used_connections
        self.connection = await self.state.pool.acquire(non_idempotent, timeout_s, used)
        used.append(self.connection)
        self.connection.count_held_in(self.gateway.held.budget)

    def send(self) -> None:
        """Write the request; raises ConnectionLostError."""
        assert self.connection is not None
        context = self.context
        now_s = asyncio.get_running_loop().time()
        self.sent_at_s = now_s
        hints = ForwardHints(
            instance=self.state.endpoint.instance,
            time_left_s=context.deadline_s - now_s,
            organisation=context.organisation.name if context.organisation else None,
            model=context.model,
            priority=context.priority if context.service.model_costs else None,
            last_event_id=context.last_event_id,
        )
        request = context.request
        headers = self.gateway.dialect.forward_headers(request.headers, hints)
        if request.body or _has_body_framing(request.headers):
            length = str(len(request.body)).encode()
            headers.append((b"content-length", length))
        self.sent = True
        self.enqueue(now_s)
        self.wait_id = record_sent(self.gateway, context, self.uncached_tokens, now_s)
        self._register_evidence(now_s)
        self.connection.send_request(
            h11.Request(method=request.method, target=request.target, headers=headers),
            request.body,
        )

    def enqueue(self, now_s: float) -> None:
        """Add the request to the endpoint's backlog and gossip it to the peers."""
        prompt = self.context.request.hints.prompt
        if prompt is None:
            return
        gateway, context, state = self.gateway, self.context, self.state
        keys = prefix_keys(prompt, context.model)
        self.uncached_tokens = uncached_tokens(state, prompt, keys, 0.0)
        prefill = gateway.prefill_latency(context.service.name, context.model)
        self.backlog_id = gateway.next_exchange_number()
        work_s = prefill.predict_s(self.uncached_tokens)
        local_s = work_s * state.pace.slowness(now_s)
        self.work_s = local_s
        is_queue_known = state.load.freshness(now_s) > RECENT_FRESHNESS
        if gateway.settings.overload_control and is_queue_known:
            self.waiting_at_send = state.load.waiting
        self.predicted_s = state.backlog.wait_s(now_s, 0.0) + local_s
        self.is_wait_short = state.backlog.drained_at_s - now_s <= local_s
        state.backlog.send(self.backlog_id, local_s, now_s)
        state.record_cached(keys)
        endpoint = endpoint_id(state.endpoint.instance)
        gateway.gossip_work(WorkSent(endpoint, work_s, keys), now_s)

    def record_first_chunk(self, now_s: float) -> None:
        """Update backlog, prefill latency and pace as the response head arrives."""
        took_s = now_s - self.sent_at_s
        record_head(self.gateway, self.context, self.wait_id, took_s, now_s)
        latency_s = self.state.backlog.record_first_chunk(self.backlog_id, now_s)
        if latency_s is not None:
            context = self.context
            service = context.service.name
            slowness = self.state.pace.slowness(now_s)
            if self.waiting_at_send is not None:
                wait_s = (took_s - self.work_s) / slowness
                delay = self.gateway.overload(service).queue_delay
                delay.learn(self.waiting_at_send, wait_s)
            prefill = self.gateway.prefill_latency(service, context.model)
            if self.is_wait_short:
                predicted_s = prefill.predict_s(self.uncached_tokens)
                self._learn_pace(str(context.model), predicted_s, latency_s, now_s)
            prefill.learn(self.uncached_tokens, latency_s / slowness)

    def record_whole_response(self, now_s: float) -> None:
        """Learn the pace of a plain endpoint from the time of a whole response."""
        context = self.context
        if context.request.hints.prompt is not None:
            return
        # Nothing predicts these responses but the earlier ones of the same route.
        self._learn_pace(context.route.name, 1.0, now_s - self.sent_at_s, now_s)

    def _learn_pace(
        self, kind: str, predicted_s: float, took_s: float, now_s: float
    ) -> None:
        """Learn the endpoint's own slowness against the usual time of such responses.

        ``kind`` is the model or route. A line is logged once the slowness is known.
        """
        endpoint, pace = self.state.endpoint, self.state.pace
        if not pace.is_reported:
            return
        usual = self.gateway.response_time(self.context.service.name, kind)
        normal_s = took_s / pace.slowness(now_s)
        is_new = pace.learn(usual.usual_s(predicted_s), took_s, now_s)
        usual.learn(predicted_s, normal_s)
        if is_new:
            self.gateway.log.write(
                Event.ENDPOINT_SLOWNESS_KNOWN,
                routine=True,
                endpoint=endpoint.instance,
                incarnation=endpoint.incarnation,
                own_slowness=round(pace.own_slowness(now_s), 3),
                machine_pace=round(pace.machine_pace(now_s), 3),
            )

    def _register_evidence(self, now_s: float) -> None:
        context, endpoint = self.context, self.state.endpoint
        self.rollout = self.gateway.rollouts.get(context.service.name)
        if self.rollout is not None:
            self.evidence_id = self.rollout.record_sent(
                is_target=endpoint.version == self.rollout.order.target,
                kind=kind_cell_name(context.route.name, context.model),
                endpoint=endpoint.instance,
                now_s=now_s,
            )

    def record_evidence(self, failed: bool, first_chunk_s: float | None) -> None:
        """Record the response as evidence for a roll-out."""
        if self.rollout is not None:
            self.rollout.record_answer(self.evidence_id, failed, first_chunk_s)

    async def read_head(self) -> ResponseHead:
        """Return the head of the response to this request.

        A response with another request's id is skipped: an endpoint may send a second
        response late, where the next one is expected.
        """
        assert self.connection is not None
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            event = await self._next_final_response()
            headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
            head = self.gateway.dialect.read_response(
                event.status_code, bytes(event.reason), headers
            )
            request_id = self.context.request.hints.request_id
            if request_id is None or head.request_id in (request_id, None):
                method = self.context.request.method
                # A refusal is complete with its head, which says "not run".
                self.is_close_delimited = not head.not_run and is_close_delimited(
                    method, event
                )
                return head
            self.gateway.log.write(
                Event.RESPONSE_SKIPPED,
                routine=True,
                request_id=request_id,
                endpoint=self.state.endpoint.instance,
                other_id=(head.request_id or "")[:MAX_LOGGED_ID_CHARS],
                status=head.status,
            )
            await self.connection.skip_response()
        raise InvalidResponseError(
            f"expected a response to request {request_id}"
            f" from {self.state.endpoint.instance},"
            " got only responses to other requests"
        )

    async def _next_final_response(self) -> h11.Response:
        assert self.connection is not None
        while True:
            event = await self.connection.next_response_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionLostError(
                    f"expected a response head from {self.state.endpoint.instance},"
                    f" got {type(event).__name__}"
                )
            return event

    async def next_data(self) -> Any:
        """Return the next body data, or None at the end of the complete response."""
        assert self.connection is not None
        while True:
            event = await self.connection.next_response_event()
            if isinstance(event, h11.EndOfMessage):
                if self.is_close_delimited:
                    await self._confirm_end()
                self.complete = True
                return None
            if isinstance(event, h11.Data):
                return bytes(event.data)

    async def _confirm_end(self) -> None:
        """Log the end of a close-delimited response, and confirm it.

        Raises ConnectionLostError if the response may have been cut off.
        """
        self.gateway.log.write(
            Event.RESPONSE_CLOSE_DELIMITED,
            routine=True,
            request_id=self.context.request.hints.request_id,
            endpoint=self.state.endpoint.instance,
            kept_bytes=self.kept.held_bytes,
        )
        await confirm_response(self.state)

    async def read_body(self, limit_bytes: int) -> bytes | None:
        """Return the complete body, or None when it exceeds the limit."""
        chunks: list[bytes] = []
        size = 0
        while (data := await self.next_data()) is not None:
            chunks.append(data)
            size += len(data)
            self.kept.set(size)
            if size > limit_bytes:
                return None
        return b"".join(chunks)

    def close(self) -> None:
        """Release the connection, or close it if the response is not complete."""
        now_s = asyncio.get_running_loop().time()
        self.state.backlog.discard(self.backlog_id, now_s)
        record_end(self.gateway, self.context, self.wait_id, now_s)
        if self.rollout is not None:
            self.rollout.abandon(self.evidence_id, now_s)
        self.kept.clear()
        if self.connection is not None:
            self.connection.release_held()
            self.state.pool.release(self.connection, self.complete)
            self.connection = None


def _has_body_framing(headers: tuple[tuple[bytes, bytes], ...]) -> bool:
    """Return whether the caller framed a body, even an empty one."""
    return any(n in (b"content-length", b"transfer-encoding") for n, _ in headers)
