"""The engine adapter: complete answers, and a typed refusal for every failure."""

import asyncio

import orjson
import pytest

from acaciacove.adapters.engine_call import EngineCall
from acaciacove.adapters.engine_chunk import EngineChunk
from acaciacove.adapters.engine_finish import EngineFinish
from acaciacove.adapters.engine_order import EngineAction, EngineOrder
from acaciacove.adapters.http_client import open_client
from acaciacove.adapters.http_engine import HttpEngine
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.standins.engine_app import build_engine_app
from acaciacove.standins.engine_profile import EngineProfile
from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.engine_text import generated_tokens
from acaciacove.standins.serve import serve

VERSION = "guide-small@1"
BODY = {"messages": [{"role": "user", "content": "how is the creek"}], "max_tokens": 9}
COMPLETE_TEXT = "".join(generated_tokens(VERSION, BODY))


def call(request_id="r1", **fields):
    return EngineCall(request_id, VERSION, orjson.dumps(BODY), **fields)


def with_engine(use, **profile):
    """Run ``use(engine, state)`` with an engine stand-in."""
    state = EngineState({VERSION}, EngineProfile(**profile))

    async def run():
        client = open_client()
        async with serve(build_engine_app(state)) as port:
            result = await use(HttpEngine(f"http://127.0.0.1:{port}", client), state)
            await client.aclose()
            return result

    return asyncio.run(run())


def events_of(stream, faults=None, **fields):
    """Return all events of one call with the given faults injected."""

    async def use(engine, state):
        for name, value in (faults or {}).items():
            setattr(state.faults, name, value)
        return [event async for event in engine.generate(call(stream=stream, **fields))]

    return with_engine(use)


def text_of(events):
    return "".join(e.text for e in events if isinstance(e, EngineChunk))


@pytest.mark.parametrize("stream", [False, True])
def test_complete_answer_ends_with_finish_and_usage(stream):
    events = events_of(stream)
    assert text_of(events) == COMPLETE_TEXT
    assert isinstance(events[-1], EngineFinish)
    assert events[-1].completion_tokens == 9
    assert events[-1].finish_reason == "stop"


def test_resumed_stream_continues_after_received_tokens():
    events = events_of(True, resume_from_tokens=4)
    head = "".join(generated_tokens(VERSION, BODY)[:4])
    assert head + text_of(events) == COMPLETE_TEXT


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize(
    "fault, reason",
    [
        ("crossed", Reason.ANSWER_MISMATCH),
        ("truncated", Reason.ANSWER_TRUNCATED),
        ("garbage", Reason.ENDPOINT_FAILED),
        ("fail", Reason.ENDPOINT_FAILED),
        ("dropped", Reason.CONNECTION_LOST),
        ("stalled", Reason.DEADLINE_EXCEEDED),
    ],
)
def test_broken_answer_ends_with_a_typed_refusal(stream, fault, reason):
    # An engine sends the answer to another request, stops early, stalls or sends
    # garbage. Passed on unchecked, a caller would see another user's chat or take half
    # an answer for a complete one. Each case has to end with a typed failure instead.
    events = events_of(stream, {fault: 1}, stall_s=0.1, timeout_s=0.5)
    end = events[-1]
    assert isinstance(end, Refusal)
    assert end.reason is reason or (
        fault == "dropped" and end.reason is Reason.ANSWER_TRUNCATED
    )
    assert not end.not_run
    assert COMPLETE_TEXT.startswith(text_of(events))
    assert not any(isinstance(event, EngineFinish) for event in events)


def test_closing_a_stream_cancels_the_call_in_the_engine():
    # Without the cancellation the engine would continue to generate unused tokens.
    async def use(engine, state):
        async def read_two():
            events = engine.generate(call(stream=True))
            async for event in events:
                if isinstance(event, EngineChunk):
                    break
            await events.aclose()

        await read_two()
        async with asyncio.timeout(5):
            while not state.counters.cancelled:
                await asyncio.sleep(0.001)
        return state

    state = with_engine(use, token_s=0.02)
    assert state.in_flight == 0
    assert state.counters.finished == 0


def test_cancelled_reader_cancels_a_complete_answer_call():
    async def use(engine, state):
        async def read():
            return [event async for event in engine.generate(call())]

        reading = asyncio.create_task(read())
        while not state.in_flight:
            await asyncio.sleep(0.001)
        reading.cancel()
        async with asyncio.timeout(5):
            while not state.counters.cancelled:
                await asyncio.sleep(0.001)
        return state

    assert with_engine(use, token_s=0.02).in_flight == 0


def test_chunks_arrive_while_the_engine_generates():
    async def use(engine, state):
        events = engine.generate(call(stream=True))
        while not isinstance(await anext(events), EngineChunk):
            pass
        tokens = state.counters.tokens
        await events.aclose()
        return tokens

    assert with_engine(use, token_s=0.02) < 9


def test_overloaded_cold_engine_restarts():
    # A freshly started engine has little capacity. Under full load it fails all its
    # requests and restarts, and callers see their streams break.
    async def use(engine, state):
        state.turn_cold(asyncio.get_running_loop().time())

        async def last_event(request_id):
            events = engine.generate(call(request_id, stream=True))
            return [event async for event in events][-1]

        ends = await asyncio.gather(*(last_event(f"r{n}") for n in range(3)))
        return ends, state

    ends, state = with_engine(use, token_s=0.02, cold_bears=2, warm_up_s=60)
    assert all(isinstance(end, Refusal) and not end.not_run for end in ends)
    assert state.counters.fell_over
    assert not state.counters.finished


def test_body_that_is_not_an_object_is_refused_before_sending():
    async def use(engine, state):
        events = engine.generate(EngineCall("r", VERSION, b"[1"))
        return [event async for event in events], state.counters.started

    (refusal,), started = with_engine(use)
    assert (refusal.reason, refusal.not_run) == (Reason.MALFORMED_REQUEST, True)
    assert started == 0


@pytest.mark.parametrize("refuses", [True, False])
def test_stale_fence_is_refused_by_engines_that_check_it(refuses):
    # Two sidecars send orders to one engine; the first was paused beyond its lease. An
    # engine that ignores fencing numbers still executes the stale order, so callers
    # have to know which kind of engine they use.
    async def use(engine, state):
        new = EngineOrder(7, EngineAction.LOAD_VERSION, "guide-small@2")
        old = EngineOrder(6, EngineAction.UNLOAD_VERSION, "guide-small@2")
        assert await engine.order(new) is None
        return await engine.order(old), (await engine.load()).versions

    refusal, versions = with_engine(use, refuses_old_fences=refuses)
    assert (refusal is not None) is refuses
    assert ("guide-small@2" in versions) is refuses
