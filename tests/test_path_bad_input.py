"""Invalid requests to a running entry each get one typed error."""

import asyncio

import orjson
import pytest

from tests.embedded import embedded_fleet, run

CHAT = "/v1/chat/completions"
QUESTION = {"model": "guide", "messages": [{"role": "user", "content": "Any creeks?"}]}


async def read_problem(response):
    problem = orjson.loads(await response.content())
    assert response.headers["content-type"] == "application/problem+json"
    assert problem["not_run"] is True
    return response.status_code, problem["reason"], problem["detail"]


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "reason"),
    [
        (CHAT, b"{", {}, 400, "malformed_request"),
        (CHAT, b"x" * 1_000_001, {}, 413, "too_large"),
        (CHAT, orjson.dumps(QUESTION), {"X_Big": "y" * 20_000}, 413, "too_large"),
        (
            CHAT,
            orjson.dumps(QUESTION),
            {"Authorization": "Bearer no"},
            401,
            "bad_token",
        ),
        (
            CHAT,
            orjson.dumps(QUESTION),
            {"X_Timeout_S": "soon"},
            400,
            "malformed_request",
        ),
        (CHAT, orjson.dumps({**QUESTION, "model": "x"}), {}, 404, "unknown_api"),
        ("/services/nothing/x", b"", {}, 404, "unknown_api"),
        ("/services/rides/shuttles", b"{}", {}, 400, "key_required"),
    ],
)
def test_invalid_requests_are_refused_with_their_reason(
    path, body, headers, status, reason
):
    async def test():
        async with embedded_fleet() as fleet:
            response = await fleet.post(path, body, **headers)
            problem = await read_problem(response)
            assert problem[:2] == (status, reason)
            assert problem[2]
            assert all(e.counters.started == 0 for e in fleet.engines.values())
            assert all(s.calls == 0 for s in fleet.services.values())

    run(test)


def test_a_body_slower_than_its_deadline_is_refused():
    # A caller announces a body and does not send all of it. The entry must not hold
    # the request for longer than the caller's own time-out.
    async def test():
        async with embedded_fleet(models=1, services=0) as fleet:
            port = fleet.entries[0].http_port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nX-Timeout-S: 0.2\r\n"
                "Authorization: Bearer guides-token\r\n"
                "Content-Length: 1000\r\n\r\n{".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.read(4096)
            writer.close()
            assert head.startswith(b"HTTP/1.1 504")
            assert orjson.loads(body)["reason"] == "deadline_exceeded"

    run(test)
