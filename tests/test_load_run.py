"""The load run tells whole answers from every other kind."""

import asyncio

import pytest

from acaciacove.bench.call_failure import CallFailure
from acaciacove.bench.load_run import run_load
from acaciacove.settings.load_settings import LoadSettings
from acaciacove.standins.engine_app import build_engine_app
from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.serve import serve
from acaciacove.standins.service_app import build_service_app
from acaciacove.standins.service_state import ServiceState

VERSION = "guide-small@1"


def run_against(app, **settings):
    """Run a small load directly against a stand-in."""

    async def run():
        async with serve(app) as port:
            url = f"http://127.0.0.1:{port}"
            fields = {"callers": 3, "requests": 12, "timeout_s": 5.0, **settings}
            return await run_load(
                LoadSettings(url, chat_api=VERSION, check_text=True, **fields)
            )

    return asyncio.run(run())


@pytest.mark.parametrize("stream_share", [0.0, 1.0])
def test_whole_answers_are_counted_and_timed(stream_share):
    app = build_engine_app(EngineState({VERSION}))
    report = run_against(app, stream_share=stream_share, max_tokens=5)
    assert (report.started, report.whole, report.failures) == (12, 12, {})
    assert report.chat.count == 12
    assert report.between_tokens.count == (48 if stream_share else 0)
    assert 0 < report.chat.p50_ms <= report.chat.p99_ms


@pytest.mark.parametrize("stream_share", [0.0, 1.0])
@pytest.mark.parametrize(
    "fault, failure",
    [("crossed", CallFailure.FOREIGN), ("truncated", CallFailure.SHORT)],
)
def test_a_wrong_answer_is_not_counted_as_whole(fault, failure, stream_share):
    # An endpoint hands one caller another one's answer, or half of its own. A load
    # run that looked at the status alone would report it as served.
    state = EngineState({VERSION})
    setattr(state.faults, fault, 2)
    report = run_against(build_engine_app(state), stream_share=stream_share)
    assert report.whole == 10
    assert report.failures == {failure: 2}


def test_bookings_are_made_under_keys_of_their_own():
    state = ServiceState()
    report = run_against(build_service_app(state), chat_share=0.0)
    assert report.whole_by_kind == {"service": 12}
    assert set(state.effects_by_key.values()) == {1}
    assert state.effects == 12


def test_a_service_that_drops_connections_shows_as_lost():
    state = ServiceState()
    state.faults.drop_after_effect = 5
    report = run_against(build_service_app(state), chat_share=0.0)
    assert report.failures == {CallFailure.LOST: 5}
    assert state.effects == 12
