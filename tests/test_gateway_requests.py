"""Requests through a gateway on the stand-in platform: answers and repeats."""

import asyncio

from attrs import evolve

from acaciacove.standins.endpoint_behaviour import EndpointBehaviour
from tests.gateway_world import (
    Caller,
    call,
    catalogue,
    draft,
    lines,
    model_fields,
    run_fleet,
    runs_of,
)


def time_left_ms(fleet, request_id):
    (run,) = runs_of(fleet, request_id)
    return int(run.fields["acaciacove-deadline-ms"])


def test_response_is_complete_with_signature_and_request_id():
    async def scenario(fleet):
        answer = await call("/book/7?x=1", "r-1", body=b"two seats")
        (run,) = runs_of(fleet, "r-1")
        assert answer.status == 200 and answer.complete
        assert answer.headers["acaciacove-response-signature"] == f"{run.instance}/r-1"
        assert answer.body == f"{run.instance} served r-1".encode()
        assert (run.method, run.target, run.body) == (
            "POST",
            "/book/7?x=1",
            b"two seats",
        )

    run_fleet(scenario)


def test_caller_cannot_set_gateway_headers():
    """A caller that sets the gateway's own fields would speak in its name.

    It could take another organisation's place, or memory that another request
    left behind; its holder would read somebody else's draft.
    """

    async def scenario(fleet):
        forged = {
            "Acaciacove-Tenant": "another",
            "Acaciacove-Cache-Hold": "h",
            "Kv-From": "10.0.0.9:1/x",
            "Acaciacove-Pin-Duration-Ms": "9",
            "Acaciacove-Kv-Backup": "10.0.0.9:1",
            "Acaciacove-Expected-Instance": "nobody",
        }
        answer = await call("/look/1", "r-1", fields=forged)
        (run,) = runs_of(fleet, "r-1")
        assert answer.status == 200
        assert run.fields["acaciacove-tenant"] == "ozark"
        assert run.fields["acaciacove-expected-instance"] == run.instance
        assert "authorization" not in run.fields
        for name in ("acaciacove-cache-hold", "kv-from", "acaciacove-kv-backup"):
            assert name not in run.fields
        assert 4_000 < int(run.fields["acaciacove-deadline-ms"]) <= 5_000

    run_fleet(scenario)


def test_run_once_request_is_not_retried_after_a_lost_response():
    """An endpoint runs a booking and its connection breaks before the answer.

    Sent again, a driver would come twice. The caller is told 502, which promises
    nothing, and never 503, which says that it has not run.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.lost_answers = 5
        answer = await call("/book/1", "r-1")
        assert answer.status == 502
        assert b'"not_run":false' in answer.body
        assert len(runs_of(fleet, "r-1")) == 1

    run_fleet(scenario)


def test_run_once_request_is_retried_after_a_refusal():
    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.full = True
        answers = [await call("/book/1", f"r-{n}") for n in range(6)]
        assert [a.status for a in answers] == [200] * 6
        assert all(len(runs_of(fleet, f"r-{n}")) == 1 for n in range(6))

    run_fleet(scenario)


def test_run_once_request_refused_by_all_endpoints_gets_503_not_run():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.full = True
        answer = await call("/book/1", "r-1")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert b'"not_run":true' in answer.body
        assert runs_of(fleet, "r-1") == []

    run_fleet(scenario)


def test_repeatable_request_is_retried_after_an_endpoint_failure():
    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.failing = True
        answers = [await call("/look/1", f"r-{n}", method="GET") for n in range(6)]
        assert [a.status for a in answers] == [200] * 6

    run_fleet(scenario)


def test_last_failure_response_is_forwarded_unchanged():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.failing = True
        answer = await call("/look/1", "r-1", method="GET")
        assert answer.status == 500 and answer.body == b"failed"
        assert answer.headers["acaciacove-response-signature"].endswith("/r-1")

    run_fleet(scenario)


def test_response_to_another_request_is_skipped():
    """An endpoint sends a second answer late, where the next one is expected.

    Passed on, a caller would read somebody else's booking.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.late_answer = True
        answer = await call("/book/1", "r-1", body=b"some bytes")
        assert answer.status == 200 and answer.body.endswith(b"served r-1")

    run_fleet(scenario)


def test_unsigned_success_is_rejected():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.unsigned = True
        answer = await call("/look/1", "r-1", method="GET")
        assert answer.status == 502

    run_fleet(scenario)


def test_truncated_body_is_not_forwarded_as_complete():
    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.early_end = True
        answers = [await call("/look/1", f"r-{n}", method="GET") for n in range(4)]
        assert all(a.status == 200 and b"served r-" in a.body for a in answers)
        booked = [await call("/book/1", f"b-{n}") for n in range(4)]
        assert {a.status for a in booked} <= {200, 502}
        assert all(len(runs_of(fleet, f"b-{n}")) == 1 for n in range(4))

    run_fleet(scenario)


def test_reused_address_answers_421_and_runs_nothing():
    """An endpoint is gone and another service answers at its address.

    It says 421, having run nothing, and the request goes to the next endpoint.
    """

    async def scenario(fleet):
        server = fleet.endpoints["app-0"]
        server.report = evolve(server.report, instance="stranger")
        answers = [await call("/book/1", f"r-{n}") for n in range(4)]
        assert [a.status for a in answers] == [200] * 4
        assert {a.instance for a in fleet.arrivals if a.ran} == {"app-1"}

    run_fleet(scenario)


def test_longest_matching_route_prefix_wins():
    base = catalogue()
    look = next(r for r in base.routes if r.name == "look")
    inner = evolve(look, name="inner", path_prefix="/look/inner/", timeout_s=2.0)

    async def scenario(fleet):
        await call("/look/inner/1", "r-1", method="GET")
        await call("/look/outer/1", "r-2", method="GET")
        left = [time_left_ms(fleet, request) for request in ("r-1", "r-2")]
        assert left[0] <= 2_000 < left[1]

    run_fleet(scenario, published=catalogue(routes=(*base.routes, inner)))


def test_request_ends_at_the_route_timeout():
    """An endpoint never answers. The caller is told at the route's timeout, and the
    endpoint stops working for it.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.mute = True
        answer = await call("/book/1", "r-1")
        assert answer.status == 504
        (run,) = runs_of(fleet, "r-1")
        assert 4.9 < answer.at_s - run.at_s < 5.2
        await asyncio.sleep(0.2)
        assert run.ended == "cut"

    run_fleet(scenario)


def test_endpoint_request_is_cancelled_when_the_caller_disconnects():
    """A caller closes its connection while an engine works for it.

    Left alone, the engine would go on for nobody, and others would wait.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour = EndpointBehaviour(work_s=3.0)
        caller = await Caller().open()
        caller.send("/draft/1", "r-1", fields=model_fields())
        await asyncio.sleep(0.5)
        caller.disconnect()
        await asyncio.sleep(0.2)
        (run,) = runs_of(fleet, "r-1")
        assert run.ended == "cut" and run.ended_s - run.at_s < 0.8

    run_fleet(scenario)


def test_cascade_starts_with_the_small_model():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.confidence = {"small": 90, "large": 90}
        answer = await draft("r-1")
        models = [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")]
        assert answer.status == 200 and models == ["small"]

    run_fleet(scenario)


def test_low_confidence_response_escalates_to_the_large_model():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.confidence = {"small": 20, "large": 70}
        answer = await draft("r-1")
        models = [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")]
        assert models == ["small", "large"]
        assert b"small" not in answer.body and answer.body.count(b"large") == 4

    run_fleet(scenario)


def test_run_once_stream_goes_to_the_large_model_only():
    """A stream that may not be resumed may not be run twice either, so a doubtful
    answer could not be dropped for a better one.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.confidence = {"small": 1, "large": 1}
        await call("/once/1", "r-1", fields=model_fields())
        models = [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")]
        assert models == ["large"]

    run_fleet(scenario)


def test_broken_stream_resumes_at_the_next_event():
    """An engine dies in the middle of an event. The caller reads every event once
    and in order, as if nothing had happened.
    """

    async def scenario(fleet):
        fleet.endpoints["model-0"].behaviour.cut_after = 2
        fleet.endpoints["model-1"].behaviour.cut_after = None
        for number in range(4):
            answer = await draft(f"r-{number}", key=f"k{number}")
            ids = [w for w in answer.body.decode().split("\n") if w.startswith("id:")]
            assert answer.complete
            assert ids == ["id: 1", "id: 2", "id: 3", "id: 4"]
        resumed = [a for a in fleet.arrivals if a.fields.get("last-event-id") == "2"]
        assert resumed and {a.instance for a in resumed} == {"model-1"}

    run_fleet(scenario)


def test_broken_run_once_stream_is_not_complete():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.cut_after = 2
        answer = await call("/once/1", "r-1", fields=model_fields())
        assert not answer.complete
        assert len(runs_of(fleet, "r-1")) == 1

    run_fleet(scenario)


def test_models_without_a_price_are_still_used():
    """An operator's catalogue leaves out what a model costs. Callers are served as if
    it cost nothing, and the log names the model.
    """
    service = evolve(catalogue().services["model"], model_costs={"small": 0.02})
    published = catalogue(services=catalogue().services | {"model": service})

    async def scenario(fleet):
        answer = await draft("r-1")
        assert answer.status == 200
        told = lines(fleet, "model_without_price")
        assert told[0]["models"] == ["large"]

    run_fleet(scenario, published=published)


def test_out_of_range_confidence_is_ignored():
    """An endpoint tells a confidence that is none. The answer stays, nothing is
    learnt from it, and the log says so.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.confidence = {"small": 4000, "large": -3}
        answer = await draft("r-1")
        assert answer.status == 200
        assert lines(fleet, "confidence_unreadable")
        beliefs = fleet.gateways["gateway-0"].gateway.confidences("model")
        assert beliefs.qualities == {}

    run_fleet(scenario)


def test_refusing_endpoint_is_excluded_after_escalation():
    """An endpoint refuses at once, because it is full or leaves. Another one's small
    model doubts its answer, and the larger model is asked for: at the endpoint that
    refused, which looked idle, its last attempt was lost, and its caller got a 502.
    """

    async def scenario(fleet):
        fleet.endpoints["model-0"].behaviour.full = True
        fleet.endpoints["model-1"].behaviour.confidence = {"small": 5, "large": 95}
        for number in range(6):
            answer = await draft(f"r-{number}", key=f"k{number}")
            assert answer.status == 200
            arrivals = [a for a in fleet.arrivals if a.request_id == f"r-{number}"]
            refused = [a for a in arrivals if a.instance == "model-0"]
            assert len(refused) <= 1

    run_fleet(scenario)
