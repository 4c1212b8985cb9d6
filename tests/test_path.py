"""End-to-end requests: caller, entry, sidecar, endpoint and back."""

import asyncio

import orjson

from tests.embedded import SMALL, embedded_fleet, run

QUESTION = {"model": "guide", "messages": [{"role": "user", "content": "Any creeks?"}]}


def test_a_chat_request_is_answered_by_the_cheapest_version():
    async def test():
        async with embedded_fleet() as fleet:
            response = await fleet.post("/v1/chat/completions", orjson.dumps(QUESTION))
            body = orjson.loads(await response.content())
            assert response.status_code == 200
            assert body["id"] == f"chatcmpl-{response.headers['x-request-id']}"
            assert response.headers["x-version"] == str(SMALL)
            assert body["choices"][0]["finish_reason"] == "stop"

    run(test)


def test_a_stream_is_relayed_to_its_end():
    async def test():
        async with embedded_fleet() as fleet:
            body = orjson.dumps({**QUESTION, "stream": True})
            response = await fleet.post("/v1/chat/completions", body)
            assert response.headers["content-type"].startswith("text/event-stream")
            text = await response.content()
            assert text.count(b"data: ") > 2
            assert text.endswith(b"data: [DONE]\n\n")

    run(test)


def test_a_service_call_reaches_its_service_once():
    async def test():
        async with embedded_fleet() as fleet:
            response = await fleet.post(
                "/services/rides/shuttles",
                b'{"reference": "b-1"}',
                Idempotency_Key="k1",
            )
            assert response.status_code < 300, await response.content()
            assert sum(s.effects for s in fleet.services.values()) == 1

    run(test)


def test_concurrent_callers_receive_their_own_answers():
    async def test():
        async with embedded_fleet() as fleet:

            async def ask(number):
                body = {
                    **QUESTION,
                    "messages": [{"role": "user", "content": str(number)}],
                }
                response = await fleet.post("/v1/chat/completions", orjson.dumps(body))
                answer = orjson.loads(await response.content())
                return answer["id"] == f"chatcmpl-{response.headers['x-request-id']}"

            assert all(await asyncio.gather(*(ask(n) for n in range(50))))

    run(test)


def test_a_malformed_request_is_refused_with_a_reason():
    async def test():
        async with embedded_fleet() as fleet:
            response = await fleet.post("/v1/chat/completions", b"{")
            problem = orjson.loads(await response.content())
            assert response.status_code == 400
            assert problem["reason"] == "malformed_request"
            assert problem["not_run"] is True

    run(test)
