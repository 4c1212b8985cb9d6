"""Failing endpoints, disconnecting callers and draining instances on real daemons."""

import asyncio

import orjson
import pytest
from attrs import evolve

from acaciacove.standins.engine_profile import EngineProfile
from acaciacove.standins.engine_text import generated_tokens
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.zone_decision import ZoneDecision
from tests.embedded import LARGE, SMALL, embedded_fleet, release_note, run, until

QUESTION = {"model": "guide", "messages": [{"role": "user", "content": "Any creeks?"}]}
CHAT = "/v1/chat/completions"


def stream_text(raw):
    """Return the text of a stream's events, and whether the stream is complete."""
    events = [e for e in raw.split(b"\n\n") if e.startswith(b"data: ")]
    complete = bool(events) and events[-1] == b"data: [DONE]"
    documents = [orjson.loads(e[6:]) for e in events if e != b"data: [DONE]"]
    deltas = [c["delta"] for d in documents for c in d.get("choices", ())]
    return "".join(delta.get("content") or "" for delta in deltas), complete


def expected_text(version, body):
    return "".join(generated_tokens(str(version), body))


@pytest.mark.parametrize(
    "fault", ["crossed", "truncated", "dropped", "garbage", "fail"]
)
def test_invalid_answer_is_retried_on_another_endpoint(fault):
    # An endpoint answers with another request's id, a partial answer, or none. The
    # caller must get its complete answer from another endpoint instead.
    async def test():
        async with embedded_fleet() as fleet:
            for engine in fleet.engines.values():
                setattr(engine.faults, fault, 1)
            # If both endpoints failed once, no endpoint would be left for a third
            # attempt, so the second one has no fault.
            setattr(fleet.engines["guide-1"].faults, fault, 0)
            for _ in range(6):
                response = await fleet.post(CHAT, orjson.dumps(QUESTION))
                answer = orjson.loads(await response.content())
                assert response.status_code == 200, answer
                text = answer["choices"][0]["message"]["content"]
                assert text == expected_text(SMALL, QUESTION)
            assert getattr(fleet.engines["guide-0"].faults, fault) == 0

    run(test)


@pytest.mark.parametrize("fault", ["truncated", "dropped"])
def test_broken_stream_resumes_without_lost_or_repeated_tokens(fault):
    # An endpoint fails in the middle of a stream. The caller must get one complete
    # answer without missing or repeated tokens.
    async def test():
        async with embedded_fleet() as fleet:
            setattr(fleet.engines["guide-0"].faults, fault, 1)
            body = {**QUESTION, "stream": True}
            for _ in range(6):
                response = await fleet.post(CHAT, orjson.dumps(body))
                text, complete = stream_text(await response.content())
                assert complete
                assert text == expected_text(SMALL, body)
            assert getattr(fleet.engines["guide-0"].faults, fault) == 0

    run(test)


def test_stream_without_a_working_endpoint_ends_with_an_error_event():
    # Every endpoint truncates its answer. The caller must be able to tell a partial
    # answer from a complete one.
    async def test():
        async with embedded_fleet() as fleet:
            for engine in fleet.engines.values():
                engine.faults.truncated = -1
            body = orjson.dumps({**QUESTION, "stream": True})
            response = await fleet.post(CHAT, body)
            raw = await response.content()
            assert not stream_text(raw)[1]
            assert b"event: error" in raw
            problem = orjson.loads(raw.rsplit(b"data: ", 1)[1])["error"]
            assert problem["not_run"] is False

    run(test)


@pytest.mark.parametrize("stream", [True, False])
def test_caller_disconnect_cancels_the_engine_call(stream):
    # Guards against an engine that continues to generate for a disconnected caller
    # while other requests wait.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            engine = fleet.engines["guide-0"]
            engine.profile = EngineProfile(token_s=0.05)
            body = orjson.dumps({**QUESTION, "stream": stream})
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", fleet.entries[0].http_port
            )
            head = (
                f"POST {CHAT} HTTP/1.1\r\nHost: x\r\n"
                "Authorization: Bearer guides-token\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await until(lambda: engine.counters.tokens > 0)
            writer.close()
            await until(lambda: engine.counters.cancelled == 1)
            await until(lambda: fleet.entries[0].state.in_flight == 0)
            assert engine.counters.finished == 0

    run(test)


def test_draining_endpoint_finishes_its_streams_and_gets_no_new_ones():
    # A sidecar is stopped while it streams. Its callers must get complete answers,
    # and new requests must go to another endpoint.
    async def test():
        async with embedded_fleet() as fleet:
            for engine in fleet.engines.values():
                engine.profile = EngineProfile(token_s=0.02)
            body = {**QUESTION, "stream": True}

            async def post_chat():
                response = await fleet.post(CHAT, orjson.dumps(body))
                return stream_text(await response.content())

            streams = [asyncio.create_task(post_chat()) for _ in range(6)]
            draining_engine = fleet.engines["guide-0"]
            await until(lambda: draining_engine.counters.started > 0)
            stop = asyncio.create_task(fleet.sidecar_stacks["guide-0"].aclose())
            sidecar = fleet.sidecars["guide-0"].state
            await until(lambda: not sidecar.lifecycle.takes_work)
            started = draining_engine.counters.started
            streams += [asyncio.create_task(post_chat()) for _ in range(6)]
            answers = await asyncio.gather(*streams)
            await stop
            assert answers == [(expected_text(SMALL, body), True)] * 12
            assert draining_engine.counters.started == started

    run(test)


def test_entry_shutdown_completes_running_requests():
    # The entry is stopped while it answers, as by SIGTERM. Its callers must still get
    # complete answers.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            fleet.engines["guide-0"].profile = EngineProfile(token_s=0.02)
            body = {**QUESTION, "stream": True}

            async def post_chat():
                response = await fleet.post(CHAT, orjson.dumps(body))
                return stream_text(await response.content())

            requests = [asyncio.create_task(post_chat()) for _ in range(4)]
            await until(lambda: fleet.entries[0].state.in_flight >= 4)
            await fleet.entry_stacks[0].aclose()
            assert fleet.entries[0].state.in_flight == 0
            complete = (expected_text(SMALL, body), True)
            assert await asyncio.gather(*requests) == [complete] * 4
            assert not fleet.entries[0].cut

    run(test)


def test_withdrawn_version_gets_no_new_requests():
    # A release note withdraws the cheaper version. Requests must go to the other one,
    # and a request for the withdrawn version must be refused as not run.
    async def test():
        async with embedded_fleet() as fleet:
            note = ReleaseNote("note-2", 0, withdrawn=(SMALL,))
            offset = fleet.publish(note)
            states = [s.state.fleet_store for s in fleet.sidecars.values()]
            states += [e.state.fleet_store for e in fleet.entries]
            await until(lambda: all(h.state.revision == offset for h in states))
            response = await fleet.post(CHAT, orjson.dumps(QUESTION))
            assert response.headers["x-version"] == str(LARGE)
            body = orjson.dumps({**QUESTION, "model": str(SMALL)})
            response = await fleet.post(CHAT, body)
            assert orjson.loads(await response.content())["not_run"] is True

    run(test)


@pytest.mark.parametrize(
    "decision",
    [
        ZoneDecision("d1", "ozark", True),
        InstanceDecision("d1", "guide-0", True),
    ],
)
def test_endpoint_taken_out_by_an_operator_gets_no_new_requests(decision):
    async def test():
        async with embedded_fleet() as fleet:
            offset = fleet.publish(decision)
            states = [s.state.fleet_store for s in fleet.sidecars.values()]
            states += [e.state.fleet_store for e in fleet.entries]
            await until(lambda: all(h.state.revision == offset for h in states))
            before = fleet.engines["guide-0"].counters.started
            for _ in range(8):
                response = await fleet.post(CHAT, orjson.dumps(QUESTION))
                assert response.headers["x-endpoint"] == "guide-1"
            assert fleet.engines["guide-0"].counters.started == before

    run(test)


def test_cold_endpoint_stays_within_its_cold_capacity():
    # A freshly started engine fails when it gets more than its cold capacity. Thirty
    # concurrent requests must all be served without overloading it.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            engine = fleet.engines["guide-0"]
            engine.profile = EngineProfile(token_s=0.002, cold_bears=2, warm_up_s=60.0)
            engine.turn_cold(asyncio.get_running_loop().time())
            small, large, bookings = release_note().versions
            cold_start = {"cold_bears": 2, "warm_up_s": 60.0}
            versions = (
                evolve(small, **cold_start),
                evolve(large, **cold_start),
                bookings,
            )
            offset = fleet.publish(ReleaseNote("note-2", 0, versions=versions))
            sidecar = fleet.sidecars["guide-0"].state
            await until(lambda: sidecar.fleet_store.state.revision == offset)

            async def post_chat():
                response = await fleet.post(CHAT, orjson.dumps(QUESTION))
                return response.status_code

            assert await asyncio.gather(*(post_chat() for _ in range(30))) == [200] * 30
            assert engine.counters.fell_over == 0
            assert engine.counters.most_in_flight_cold <= 2

    run(test)


def test_unusually_slow_request_is_hedged():
    # One endpoint stalls and sends nothing more. The caller must not wait until its
    # deadline while another endpoint could answer immediately.
    async def test():
        async with embedded_fleet() as fleet:
            entry = fleet.entries[0].state
            for number in range(60):
                body = {**QUESTION, "max_tokens": 4 + number % 2}
                response = await fleet.post(CHAT, orjson.dumps(body))
                await response.content()
            # Next requests prefer the endpoint that has the prefix in its cache.
            preferred = response.headers["x-endpoint"]
            fleet.engines[preferred].faults.stalled = -1
            hedged = 0
            for _ in range(8):
                entry.hedges.tokens = 1.0
                response = await fleet.post(CHAT, orjson.dumps(QUESTION))
                answer = orjson.loads(await response.content())
                assert response.status_code == 200, answer
                # Some requests go to the more expensive version to measure it. Which
                # ones depends on random draws that the test does not control.
                version = LARGE if answer["model"] == str(LARGE) else SMALL
                assert response.headers["x-version"] == str(version)
                text = answer["choices"][0]["message"]["content"]
                assert text == expected_text(version, QUESTION)
                hedged += entry.hedges.tokens < 1.0
            assert hedged > 0

    run(test)


def test_slow_caller_past_its_deadline_gets_an_error_event():
    # A deadline passes while the entry writes a stream to a slow caller. The stream
    # must end with an error event, not just stop.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            engine = fleet.engines["guide-0"]
            engine.profile = EngineProfile(token_s=0.05)
            body = orjson.dumps({**QUESTION, "stream": True, "max_tokens": 400})
            response = await fleet.post(CHAT, body, X_Timeout_S="0.6")
            raw = await response.content()
            assert not stream_text(raw)[1]
            assert b"event: error" in raw
            assert b"deadline_exceeded" in raw

    run(test)
