"""Non-idempotent calls, billing and session pins on real daemons."""

import asyncio

import orjson
import pytest

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.state.billing_ledger import BillingLedger
from acaciacove.state.billing_record import BILLING_STREAM
from tests.embedded import LARGE, embedded_fleet, run, until

SHUTTLES = "/services/rides/shuttles"
BOOKING = b'{"reference": "bridge-7"}'
QUESTION = orjson.dumps(
    {"model": "guide", "messages": [{"role": "user", "content": "Any creeks?"}]}
)
CHAT = "/v1/chat/completions"


def effects(fleet):
    return sum(service.effects for service in fleet.services.values())


def read_ledger(fleet):
    """Return a ledger of the whole billing stream."""
    stream = fleet.log.stream(BILLING_STREAM)
    read = BillingLedger()
    read.offer([LogEntry(o, p) for o, p in stream.read(stream.first_offset, 10_000)])
    return read


async def book(fleet, key, entry=0, body=BOOKING):
    response = await fleet.post(SHUTTLES, body, entry, Idempotency_Key=key)
    return response.status_code, orjson.loads(await response.content())


def test_booking_and_its_retry_through_another_entry_run_once():
    # Guards against a double booking when the caller loses the first answer and
    # retries through another entry.
    async def test():
        async with embedded_fleet(models=0, entries=2) as fleet:
            first = await book(fleet, "k1")
            second = await book(fleet, "k1", entry=1)
            assert first[0] == 200
            assert second == first
            assert effects(fleet) == 1

    run(test)


def test_concurrent_duplicate_bookings_run_once():
    async def test():
        async with embedded_fleet(models=0, services=3, entries=2) as fleet:
            answers = await asyncio.gather(
                *(book(fleet, "k1", n % 2) for n in range(12))
            )
            assert effects(fleet) == 1
            assert {status for status, _ in answers} == {200}
            assert len({orjson.dumps(answer) for _, answer in answers}) == 1

    run(test)


@pytest.mark.parametrize("fault", ["drop_after_effect", "drop_before_effect"])
def test_booking_with_a_lost_answer_is_never_repeated(fault):
    # The service drops the connection before or after the booking takes effect.
    # The outcome cannot be determined, so the call and each retry must report it as
    # unknown.
    async def test():
        async with embedded_fleet(models=0, services=1) as fleet:
            setattr(fleet.services["bookings-0"].faults, fault, 1)
            for _ in range(3):
                status, problem = await book(fleet, "k1")
                assert (status, problem["reason"]) == (502, "outcome_unknown")
                assert problem["not_run"] is False
            assert effects(fleet) == (1 if fault == "drop_after_effect" else 0)

    run(test)


def test_log_outage_refuses_bookings_as_not_run_but_serves_chats():
    # Without the log, no process can rule out that the key was used elsewhere.
    async def test():
        async with embedded_fleet(models=1) as fleet:
            fleet.log.faults.outage = True
            status, problem = await book(fleet, "k1")
            assert (status, problem["reason"]) == (503, "claim_unavailable")
            assert problem["not_run"] is True
            assert "retry_after_s" in problem
            response = await fleet.post(CHAT, QUESTION)
            assert response.status_code == 200
            fleet.log.faults.outage = False
            assert effects(fleet) == 0

            async def book_succeeds():
                return (await book(fleet, "k1"))[0] == 200

            while not await book_succeeds():
                await asyncio.sleep(0.1)
            assert effects(fleet) == 1

    run(test)


def test_reused_key_with_another_body_is_refused():
    async def test():
        async with embedded_fleet(models=0) as fleet:
            await book(fleet, "k1")
            status, problem = await book(fleet, "k1", body=b'{"reference": "other"}')
            assert (status, problem["reason"]) == (422, "key_reused")
            assert effects(fleet) == 1

    run(test)


def test_every_answered_request_is_billed_once():
    # Each answered request is billed once. Retries of a booking, failed attempts and
    # refusals are not billed.
    async def test():
        async with embedded_fleet(entries=2) as fleet:
            fleet.engines["guide-0"].faults.fail = 2
            for number in range(6):
                response = await fleet.post(CHAT, QUESTION, entry=number % 2)
                assert response.status_code == 200
            for _ in range(3):
                await book(fleet, "k1")
            await fleet.post(CHAT, b"{")
            await until(lambda: read_ledger(fleet).requests["ozark-guides"] == 7)
            sidecars = [s.state.billing for s in fleet.sidecars.values()]
            await until(lambda: all(b.held == 0 for b in sidecars))
            assert read_ledger(fleet).requests["ozark-guides"] == 7

    run(test)


def test_session_keeps_its_version_when_its_entry_is_replaced():
    # A chat starts on the more expensive version and its entry is replaced. The next
    # entry has no state of the chat except the session token of the caller.
    async def test():
        async with embedded_fleet(entries=2, services=0) as fleet:
            body = orjson.dumps({**orjson.loads(QUESTION), "model": str(LARGE)})
            first = await fleet.post(CHAT, body, X_Session_Id="chat-1")
            token = first.headers["x-session-token"]
            await fleet.entry_stacks[0].aclose()
            for _ in range(3):
                response = await fleet.post(
                    CHAT, QUESTION, 1, X_Session_Id="chat-1", X_Session_Token=token
                )
                assert response.headers["x-version"] == str(LARGE)

    run(test)
