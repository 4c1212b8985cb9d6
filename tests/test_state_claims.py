"""Non-repeatable calls run at most once, and refusals with ``not_run`` are true."""

import asyncio
from random import Random

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.state.claim_key import claim_key, key_issued_s, request_fingerprint
from acaciacove.state.claim_settings import ClaimSettings
from acaciacove.state.rendezvous import preferred_owner, rank_owners
from tests.claim_world import START_UNIX_S, World
from tests.virtual import run_virtual

OLD_UUID7 = "01890a5d-ac96-774b-bcce-b302099a8057"


def test_a_booking_without_faults_needs_one_log_round_trip():
    async def main():
        world = World(latency_s=0.010)
        owner = world.start("s1")
        await asyncio.wait_for(_read_partitions(owner), 10)
        loop = asyncio.get_running_loop()
        for n in range(20):
            before_s = loop.time()
            assert (await world.book("s1", f"k{n}")).status == 201
            assert loop.time() - before_s < 0.010 + world.service_s + 0.001
            await asyncio.sleep(0.5)

    run_virtual(main)


async def _read_partitions(owner):
    task = asyncio.create_task(owner.run(lambda: range(2)))
    await asyncio.sleep(1.0)
    task.cancel()


def test_concurrent_duplicates_through_different_sidecars_run_once():
    # A client retries a call while the first attempt is in progress, and the two
    # reach different endpoints. Both must receive the same answer.
    async def main():
        world = World()
        for name in ("s1", "s2", "s3"):
            world.start(name)
        attempts = [world.book(name, "topup") for name in ("s1", "s2", "s3", "s2")]
        answers = await asyncio.gather(*attempts)
        assert world.calls["topup"] == 1
        assert {a.body for a in answers} == {b"seat 4/1"}

    run_virtual(main)


def test_a_call_is_not_repeated_when_its_owner_is_killed_at_any_moment():
    # The sidecar is killed before, during or after its call, and the caller retries
    # through another one. A second call would redeem the voucher twice.
    async def main(kill_after_s):
        world = World()
        world.start("s1")
        world.start("s2")
        first = asyncio.create_task(world.book("s1", "voucher", "first"))
        await asyncio.sleep(kill_after_s)
        world.kill("s1")
        ran = world.calls["voucher"]
        retry = await world.book("s2", "voucher", "retry")
        assert world.calls["voucher"] <= 1
        if isinstance(retry, Refusal):
            assert retry.reason is Reason.OUTCOME_UNKNOWN and not retry.not_run
        elif ran:
            assert world.attempts_run == ["first"]
        first.cancel()
        return type(retry).__name__

    seen = {run_virtual(lambda d=ms / 1000: main(d)) for ms in range(0, 80, 2)}
    assert seen == {"Refusal", "ServiceAnswer"}


def test_a_paused_owner_does_not_run_a_call_that_another_owner_reported_on():
    # The machine of the owner is paused after its claim was appended and before the
    # owner has read it. With a lease, another owner would take over and both would
    # make the call.
    async def main():
        world = World()
        world.start("s1")
        world.start("s2")
        first = asyncio.create_task(world.book("s1", "shuttle", "first"))
        await asyncio.sleep(0.004)
        world.logs["s1"].resumed.clear()
        second = await world.book("s2", "shuttle", "second", timeout_s=3.0)
        assert isinstance(second, Refusal) and not second.not_run
        await asyncio.sleep(7200)
        world.logs["s1"].resumed.set()
        paused = await first
        assert isinstance(paused, Refusal) and paused.not_run
        assert world.calls["shuttle"] == 0
        retry = await world.book("s2", "shuttle", "third")
        assert retry.status == 201 and world.calls["shuttle"] == 1

    run_virtual(main)


def test_a_call_is_not_started_after_the_machine_was_suspended():
    # The monotonic clock of a suspended machine may stop. The deadline then seems to
    # be in the future, although the caller has already received "outcome unknown"
    # and the other processes may soon remove the key.
    async def main():
        world = World()
        world.start("s1")
        append = world.log.append

        async def append_and_sleep(stream, payload):
            offset = await append(stream, payload)
            world.suspended_s = 86_000.0
            return offset

        world.logs["s1"].append = append_and_sleep
        refused = await world.book("s1", "shuttle", timeout_s=5.0)
        assert refused.reason is Reason.DEADLINE_EXCEEDED and refused.not_run
        assert world.calls["shuttle"] == 0

    run_virtual(main)


def test_a_claim_appended_after_its_release_does_not_block_the_key():
    # An append without a reply can reach the log seconds later. The caller received
    # "not run" and retries; a claim without a running owner must not block the key.
    async def main():
        world = World(late_share=1.0, late_s=30.0)
        world.start("s1")
        world.start("s2")
        assert (await world.book("s1", "shuttle", "first")).not_run
        world.log.late_share = 0.0
        await asyncio.sleep(60)
        (stream,) = world.log.streams.values()
        assert b'"claim"' in stream[-1] and b'"release"' in b"".join(stream)
        world.kill("s1")
        assert (await world.book("s2", "shuttle", "retry")).status == 201

    run_virtual(main)


def test_an_unconfirmed_claim_is_never_run():
    # The claim is appended, but its reply is lost and the log becomes unavailable.
    # The caller receives "not run", which must remain true when the log recovers a
    # minute later.
    async def main():
        world = World(lost_reply_share=1.0)
        world.start("s1")
        world.start("s2")
        first = asyncio.create_task(world.book("s1", "shuttle", "first"))
        await asyncio.sleep(0.004)
        world.log.down = True
        refused = await first
        assert refused.reason is Reason.CLAIM_UNAVAILABLE and refused.not_run
        world.log.lost_reply_share = 0.0
        await asyncio.sleep(60)
        world.log.down = False
        await asyncio.sleep(10)
        assert world.calls["shuttle"] == 0
        assert (await world.book("s2", "shuttle", "retry")).status == 201
        assert world.attempts_run == ["retry"]

    run_virtual(main)


def test_bookings_are_refused_immediately_while_the_log_is_down():
    # Guards against head-of-line blocking: waiting bookings would occupy the slots of
    # the endpoint for seconds, and calls that need no claim would queue behind them.
    async def main():
        world = World()
        world.start("s1")
        world.log.down = True
        await world.book("s1", "first")
        loop, waits = asyncio.get_running_loop(), []

        async def one(number):
            started_s = loop.time()
            refused = await world.book("s1", f"k{number}")
            assert refused.reason is Reason.CLAIM_UNAVAILABLE and refused.not_run
            waits.append(loop.time() - started_s)

        await asyncio.gather(*(one(n) for n in range(20)))
        assert sorted(waits)[-2] == 0.0
        world.log.down = False
        await asyncio.sleep(10)
        assert (await world.book("s1", "last")).status == 201

    run_virtual(main)


def test_a_retry_gets_the_same_answer_after_its_owner_was_killed():
    # The caller's connection was lost after the booking was made, and the endpoint
    # was replaced before the retry.
    async def main():
        world = World()
        world.start("s1")
        first = await world.book("s1", "shuttle")
        await asyncio.sleep(1)
        world.kill("s1")
        world.start("s2")
        assert await world.book("s2", "shuttle") == first
        assert world.calls["shuttle"] == 1

    run_virtual(main)


def test_a_large_answer_is_fetched_from_its_owner_and_the_call_not_repeated():
    async def main():
        world = World()
        world.answer_body = b"x" * 10_000
        world.start("s1")
        world.start("s2")
        first = await world.book("s1", "guide")
        assert await world.book("s2", "guide") == first
        await asyncio.sleep(1)
        world.kill("s1")
        refused = await world.book("s2", "guide")
        assert refused.reason is Reason.OUTCOME_UNKNOWN and not refused.not_run
        assert world.calls["guide"] == 1

    run_virtual(main)


def test_a_call_with_a_lost_connection_is_outcome_unknown_and_not_repeated():
    # The connection to the endpoint was lost after the request was sent. Whether the
    # booking was made is unknown, so no process may repeat the call.
    async def main():
        world = World()
        owner = world.start("s1")
        world.start("s2")

        async def call():
            world.calls["shuttle"] += 1
            return Refusal(Reason.CONNECTION_LOST, False)

        first = await owner.run_once("shuttle", "a", 5.0, call)
        assert first.reason is Reason.OUTCOME_UNKNOWN and not first.not_run
        for name in ("s1", "s2"):
            retry = await world.book(name, "shuttle")
            assert retry.reason is Reason.OUTCOME_UNKNOWN
        assert world.calls["shuttle"] == 1

    run_virtual(main)


def test_a_call_that_was_not_sent_releases_its_key():
    async def main():
        world = World()
        owner = world.start("s1")

        async def call():
            return Refusal(Reason.LEAVING, True)

        assert (await owner.run_once("shuttle", "a", 5.0, call)).not_run
        assert (await world.book("s1", "shuttle")).status == 201

    run_virtual(main)


def test_a_key_used_for_another_request_or_past_its_window_is_refused():
    # A caller reuses old keys after a reset of its clock or counter, or retries late.
    # Neither may make a second booking.
    async def main():
        short_window = ClaimSettings(partitions=2, window_s=3600.0)
        world = World(settings=short_window)
        owner = world.start("s1")
        world.start("s2")
        assert (await world.book("s1", "k")).status == 201
        assert (await world.book("s2", "k", body="b")).reason is Reason.KEY_REUSED
        issued_s = key_issued_s(OLD_UUID7)
        assert issued_s < START_UNIX_S
        old = await world.book("s1", "dated", issued_s=issued_s)
        assert old.reason is Reason.KEY_EXPIRED
        await asyncio.sleep(3700)
        owner._claims.remove_expired(world.wall_s())
        assert (await world.book("s2", "k")).reason is Reason.KEY_EXPIRED
        assert world.calls == {"k": 1}

    run_virtual(main)


def test_a_dated_key_older_than_the_retained_records_is_refused():
    # The log retains records for less time than configured. A new sidecar then cannot
    # know whether the key was used before the retained records.
    async def main():
        world = World(keep=4)
        world.start("s1")
        issued_s = START_UNIX_S + asyncio.get_running_loop().time()
        await world.book("s1", "k", issued_s=issued_s)
        await asyncio.sleep(1000)
        for n in range(8):
            await world.book("s1", f"k{n}")
            await asyncio.sleep(1)
        world.kill("s1")
        world.start("s2")
        late = await world.book("s2", "k", issued_s=issued_s)
        assert late.reason is Reason.KEY_EXPIRED and world.calls["k"] == 1

    run_virtual(main)


def test_claim_keys_differ_by_organisation_and_fingerprints_by_request():
    assert claim_key("a", "bc", "k") != claim_key("ab", "c", "k")
    assert request_fingerprint("POST", "/x", b"1") != request_fingerprint(
        "POST", "/x", b"2"
    )
    assert key_issued_s("order-17") is None


def test_only_the_partitions_of_a_removed_owner_are_reassigned():
    names = [f"s{n}" for n in range(7)]
    for partition in range(64):
        owner = preferred_owner(partition, names)
        assert owner == rank_owners(partition, names)[0]
        if owner != "s3":
            others = [n for n in names if n != "s3"]
            assert preferred_owner(partition, others) == owner


faults = st.lists(
    st.sampled_from(["outage", "lost", "late", "slow", "kill", "pause"]),
    max_size=2,
    unique=True,
)


@given(st.integers(0, 2**32), faults)
@settings(derandomize=True, deadline=None, max_examples=40, phases=[Phase.generate])
def test_no_call_runs_twice_or_after_not_run_under_pairs_of_faults(seed, faults):
    # Bookings with retries through random sidecars while the log and sidecars fail.
    # Guards against calls that run twice, and against a false "not run", after which
    # the caller would book again.
    random = Random(seed)

    async def booking(world, key, calls_by_attempt):
        for number in range(random.randint(1, 4)):
            attempt = f"{key}/{number}/{random.random()}"
            name = random.choice(sorted(world.owners))
            timeout_s = random.uniform(0.3, 4.0)
            call = world.book(name, key, attempt, timeout_s)
            calls_by_attempt[attempt] = asyncio.create_task(call)
            # A killed or paused sidecar does not respond to its caller.
            await asyncio.wait({calls_by_attempt[attempt]}, timeout=timeout_s + 1.0)
            await asyncio.sleep(random.uniform(0.0, 2.0))

    async def main():
        world = World(seed)
        for name in ("s1", "s2", "s3"):
            world.start(name)
        calls_by_attempt, tasks = {}, []
        for n in range(30):
            for _ in range(random.choice([1, 1, 2])):
                tasks.append(
                    asyncio.create_task(booking(world, f"k{n}", calls_by_attempt))
                )
            await asyncio.sleep(random.uniform(0.0, 0.5))
            _toggle_faults(world, faults, random)
        for task in asyncio.as_completed(tasks, timeout=600):
            await task
        for log in world.logs.values():
            log.resumed.set()
        world.log.down = False
        await asyncio.sleep(300)
        assert max(world.calls.values(), default=0) <= 1
        answers = {}
        for attempt, call in calls_by_attempt.items():
            result = call.result() if call.done() else None
            if isinstance(result, ServiceAnswer):
                answers.setdefault(attempt.partition("/")[0], set()).add(result.body)
            elif result is not None and result.not_run:
                assert attempt not in world.attempts_run
        assert all(len(bodies) == 1 for bodies in answers.values())
        return len(answers)

    run_virtual(main)


def _toggle_faults(world, faults, random):
    """Switch faults on and off at random."""
    for fault in faults:
        on = random.random() < 0.3
        match fault:
            case "outage":
                world.log.down = on
            case "lost":
                world.log.lost_reply_share = 0.5 * on
            case "late":
                world.log.late_share = 0.4 * on
            case "slow":
                world.log.latency_s = 1.5 if on else 0.005
            case "kill" if on:
                name = random.choice(sorted(world.owners))
                world.kill(name)
                world.start(name)
            case "pause":
                log = world.logs[random.choice(sorted(world.owners))]
                log.resumed.clear() if on else log.resumed.set()
