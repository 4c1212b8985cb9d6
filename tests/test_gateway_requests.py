"""Requests through a gateway on the stand-in platform: responses and retries."""

import asyncio

import pytest
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
        response = await call("/book/7?x=1", "r-1", body=b"two seats")
        (run,) = runs_of(fleet, "r-1")
        assert response.status == 200 and response.complete
        assert (
            response.headers["acaciacove-response-signature"] == f"{run.instance}/r-1"
        )
        assert response.body == f"{run.instance} served r-1".encode()
        assert (run.method, run.target, run.body) == (
            "POST",
            "/book/7?x=1",
            b"two seats",
        )

    run_fleet(scenario)


def test_caller_cannot_set_gateway_headers():
    """Guards against callers that set headers reserved for the gateway.

    With such headers a caller could pass as another organisation, or take over cache
    entries that another request left behind and so read another caller's draft.
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
        response = await call("/look/1", "r-1", fields=forged)
        (run,) = runs_of(fleet, "r-1")
        assert response.status == 200
        assert run.fields["acaciacove-tenant"] == "ozark"
        assert run.fields["acaciacove-expected-instance"] == run.instance
        assert "authorization" not in run.fields
        for name in ("acaciacove-cache-hold", "kv-from", "acaciacove-kv-backup"):
            assert name not in run.fields
        assert 4_000 < int(run.fields["acaciacove-deadline-ms"]) <= 5_000

    run_fleet(scenario)


def test_run_once_request_is_not_retried_after_a_lost_response():
    """An endpoint runs a booking and its connection breaks before the response.

    Retried, the booking would be made twice. The caller gets 502, which promises
    nothing, and never 503, which promises that the request has not run.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.lost_answers = 5
        response = await call("/book/1", "r-1")
        assert response.status == 502
        assert b'"not_run":false' in response.body
        assert len(runs_of(fleet, "r-1")) == 1

    run_fleet(scenario)


def test_run_once_request_is_retried_after_a_refusal():
    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.full = True
        responses = [await call("/book/1", f"r-{n}") for n in range(6)]
        assert [a.status for a in responses] == [200] * 6
        assert all(len(runs_of(fleet, f"r-{n}")) == 1 for n in range(6))

    run_fleet(scenario)


def test_run_once_request_refused_by_all_endpoints_gets_503_not_run():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.full = True
        response = await call("/book/1", "r-1")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert b'"not_run":true' in response.body
        assert runs_of(fleet, "r-1") == []

    run_fleet(scenario)


def test_repeatable_request_is_retried_after_an_endpoint_failure():
    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.failing = True
        responses = [await call("/look/1", f"r-{n}", method="GET") for n in range(6)]
        assert [a.status for a in responses] == [200] * 6

    run_fleet(scenario)


def test_last_failure_response_is_forwarded_unchanged():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.failing = True
        response = await call("/look/1", "r-1", method="GET")
        assert response.status == 500 and response.body == b"failed"
        assert response.headers["acaciacove-response-signature"].endswith("/r-1")

    run_fleet(scenario)


def test_response_to_another_request_is_skipped():
    """An endpoint sends a second response late, where the next one is expected.

    If it were forwarded, a caller would read another caller's booking.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.late_answer = True
        response = await call("/book/1", "r-1", body=b"some bytes")
        assert response.status == 200 and response.body.endswith(b"served r-1")

    run_fleet(scenario)


# Before, at and after each moment of the next send, which takes up to 0.03 s here.
SECOND_REFUSALS_S = [0.0, 0.001, 0.005, 0.01, 0.015, 0.0199, 0.02, 0.021, 0.03, 0.09]


def play_second_refusals(path, max_attempts, second_refusal_s, on_all):
    """Send payments to one endpoint that refuses each request once, and says so twice.

    A caller that is refused comes back with a new id. Returns for each payment whether
    it was served, and how often it ran; fails if a refused attempt has run.
    """
    base = catalogue()
    routes = tuple(evolve(r, max_attempts=max_attempts) for r in base.routes)

    async def pay(fleet, number):
        ids = [f"r-{number}-{attempt}" for attempt in range(3)]
        for request_id in ids:
            answer = await call(path, request_id, body=f"pay {number}".encode())
            await asyncio.sleep(0.03)
            if answer.status == 200:
                break
            assert answer.status == 503 and not runs_of(fleet, request_id)
        await asyncio.sleep(0.2)
        runs = [len(runs_of(fleet, request_id)) for request_id in ids]
        return answer.status, max(runs), sum(runs)

    async def scenario(fleet):
        (server,) = fleet.endpoints.values()
        server.behaviour.refuses_once = True
        server.behaviour.second_refusal_s = second_refusal_s
        server.behaviour.second_on_all = on_all
        return {await pay(fleet, number) for number in range(6)}

    published = evolve(base, routes=routes)
    return run_fleet(scenario, apps=1, models=0, published=published)


@pytest.mark.parametrize("second_refusal_s", SECOND_REFUSALS_S)
@pytest.mark.parametrize("max_attempts", [2, 3])
@pytest.mark.parametrize("on_all", [False, True])
def test_a_refusal_of_a_payment_that_comes_twice_is_no_answer_to_another_send(
    on_all, max_attempts, second_refusal_s
):
    """Guards against a payment that is made twice, or that its caller is told was not
    made: a second copy of a refusal comes where another answer is due.
    """
    found = play_second_refusals("/book/1", max_attempts, second_refusal_s, on_all)
    assert found == {(200, 1, 1)}


@pytest.mark.parametrize("second_refusal_s", SECOND_REFUSALS_S)
@pytest.mark.parametrize("max_attempts", [2, 3])
def test_a_refusal_of_a_lookup_that_comes_twice_is_not_taken_for_the_next_answer(
    max_attempts, second_refusal_s
):
    """Guards against a lookup that fails, or runs again, for a second copy of a refusal
    where the answer to the next send is due.
    """
    found = play_second_refusals("/look/1", max_attempts, second_refusal_s, False)
    assert found == {(200, 1, 1)}


@pytest.mark.parametrize("second_refusal_s", SECOND_REFUSALS_S)
@pytest.mark.parametrize("on_all", [False, True])
def test_a_payment_is_served_elsewhere_while_refusals_come_twice(
    on_all, second_refusal_s
):
    """Guards against payments that fail for one endpoint's second copies: another takes
    them, and each is made once.
    """

    async def scenario(fleet):
        first, other = fleet.endpoints.values()
        first.behaviour.refuses_once = True
        first.behaviour.second_refusal_s = second_refusal_s
        first.behaviour.second_on_all = on_all
        found = set()
        for number in range(20):
            body = f"pay {number}".encode()
            answer = await call("/book/1", f"r-{number}", body=body)
            await asyncio.sleep(0.05)
            found.add((answer.status, len(runs_of(fleet, f"r-{number}"))))
        assert {a.instance for a in fleet.arrivals} == {"app-0", "app-1"}
        return found

    assert run_fleet(scenario, apps=2, models=0) == {(200, 1)}


def test_unsigned_success_is_rejected():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.unsigned = True
        response = await call("/look/1", "r-1", method="GET")
        assert response.status == 502

    run_fleet(scenario)


def test_truncated_body_is_not_forwarded_as_complete():
    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.early_end = True
        responses = [await call("/look/1", f"r-{n}", method="GET") for n in range(4)]
        assert all(a.status == 200 and b"served r-" in a.body for a in responses)
        bookings = [await call("/book/1", f"b-{n}") for n in range(4)]
        assert {a.status for a in bookings} <= {200, 502}
        assert all(len(runs_of(fleet, f"b-{n}")) == 1 for n in range(4))

    run_fleet(scenario)


def test_reused_address_answers_421_and_runs_nothing():
    """An endpoint is gone and another service answers at its address.

    That service answers 421 without running anything, and the request goes to the next
    endpoint.
    """

    async def scenario(fleet):
        server = fleet.endpoints["app-0"]
        server.report = evolve(server.report, instance="stranger")
        responses = [await call("/book/1", f"r-{n}") for n in range(4)]
        assert [a.status for a in responses] == [200] * 4
        assert {a.instance for a in fleet.arrivals if a.ran} == {"app-1"}

    run_fleet(scenario)


def test_longest_matching_route_prefix_wins():
    base = catalogue()
    look = next(r for r in base.routes if r.name == "look")
    inner = evolve(look, name="inner", path_prefix="/look/inner/", timeout_s=2.0)

    async def scenario(fleet):
        await call("/look/inner/1", "r-1", method="GET")
        await call("/look/outer/1", "r-2", method="GET")
        remaining_ms = [time_left_ms(fleet, request) for request in ("r-1", "r-2")]
        assert remaining_ms[0] <= 2_000 < remaining_ms[1]

    run_fleet(scenario, published=catalogue(routes=(*base.routes, inner)))


def test_request_ends_at_the_route_timeout():
    """An endpoint never responds.

    The caller gets 504 at the route's timeout, and the endpoint's work is cancelled.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.mute = True
        response = await call("/book/1", "r-1")
        assert response.status == 504
        (run,) = runs_of(fleet, "r-1")
        assert 4.9 < response.at_s - run.at_s < 5.2
        await asyncio.sleep(0.2)
        assert run.ended == "cut"

    run_fleet(scenario)


def test_endpoint_request_is_cancelled_when_the_caller_disconnects():
    """A caller closes its connection while an engine works on its request.

    Without cancellation, the engine would finish a response that nobody reads, and
    other requests would wait.
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
        response = await draft("r-1")
        models = [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")]
        assert response.status == 200 and models == ["small"]

    run_fleet(scenario)


def test_low_confidence_response_escalates_to_the_large_model():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.confidence = {"small": 20, "large": 70}
        response = await draft("r-1")
        models = [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")]
        assert models == ["small", "large"]
        assert b"small" not in response.body and response.body.count(b"large") == 4

    run_fleet(scenario)


def test_run_once_stream_goes_to_the_large_model_only():
    """A stream that may not be resumed may not run twice.

    A response of low confidence could therefore not be replaced by a larger model's.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.confidence = {"small": 1, "large": 1}
        await call("/once/1", "r-1", fields=model_fields())
        models = [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")]
        assert models == ["large"]

    run_fleet(scenario)


def test_broken_stream_resumes_at_the_next_event():
    """An engine crashes in the middle of an event.

    The caller receives every event once and in order.
    """

    async def scenario(fleet):
        fleet.endpoints["model-0"].behaviour.cut_after = 2
        fleet.endpoints["model-1"].behaviour.cut_after = None
        for number in range(4):
            response = await draft(f"r-{number}", key=f"k{number}")
            ids = [w for w in response.body.decode().split("\n") if w.startswith("id:")]
            assert response.complete
            assert ids == ["id: 1", "id: 2", "id: 3", "id: 4"]
        resumed = [a for a in fleet.arrivals if a.fields.get("last-event-id") == "2"]
        assert resumed and {a.instance for a in resumed} == {"model-1"}

    run_fleet(scenario)


def test_broken_run_once_stream_is_not_complete():
    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.cut_after = 2
        response = await call("/once/1", "r-1", fields=model_fields())
        assert not response.complete
        assert len(runs_of(fleet, "r-1")) == 1

    run_fleet(scenario)


def test_models_without_a_price_are_still_used():
    """The operator's catalogue has no price for a model.

    Requests are served as if the model cost nothing, and the log names the model.
    """
    service = evolve(catalogue().services["model"], model_costs={"small": 0.02})
    published = catalogue(services=catalogue().services | {"model": service})

    async def scenario(fleet):
        response = await draft("r-1")
        assert response.status == 200
        log_lines = lines(fleet, "model_without_price")
        assert log_lines[0]["models"] == ["large"]

    run_fleet(scenario, published=published)


def test_out_of_range_confidence_is_ignored():
    """An endpoint states a confidence outside 0 to 100.

    The response is kept, nothing is learnt from it, and the log reports it.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.confidence = {"small": 4000, "large": -3}
        response = await draft("r-1")
        assert response.status == 200
        assert lines(fleet, "confidence_unreadable")
        beliefs = fleet.gateways["gateway-0"].gateway.confidences("model")
        assert beliefs.qualities == {}

    run_fleet(scenario)


def test_refusing_endpoint_is_excluded_after_escalation():
    """One endpoint refuses at once because it is full or draining.

    Another endpoint's small model has low confidence, and the request escalates. The
    endpoint that refused looks idle. If it were tried again, the last attempt would be
    lost and the caller would get a 502.
    """

    async def scenario(fleet):
        fleet.endpoints["model-0"].behaviour.full = True
        fleet.endpoints["model-1"].behaviour.confidence = {"small": 5, "large": 95}
        for number in range(6):
            response = await draft(f"r-{number}", key=f"k{number}")
            assert response.status == 200
            arrivals = [a for a in fleet.arrivals if a.request_id == f"r-{number}"]
            refused = [a for a in arrivals if a.instance == "model-0"]
            assert len(refused) <= 1

    run_fleet(scenario)
