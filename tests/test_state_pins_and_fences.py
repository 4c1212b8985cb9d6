"""Session pins need no shared store, and stale orders do not reach an engine."""

import asyncio
from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.state.fence_gate import FenceGate
from acaciacove.state.load_permit import wait_for_permit
from acaciacove.state.reducer import fold
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.session_pins import NEW_SESSION, SessionPins
from tests.virtual import run_virtual

GUIDE_API = Api("guide", ApiKind.MODEL)
ORGANISATION = Organisation("ozark-guides", allowed={"g": ("*",)})
V1, V2, V3 = (VersionId("g", n) for n in "123")


def fold_notes(*notes):
    state = FleetState()
    for offset, (declared, withdrawn, *allowed) in enumerate(notes):
        team = Organisation(
            ORGANISATION.name, allowed={"g": allowed[0] if allowed else ("*",)}
        )
        note = ReleaseNote(
            f"n{offset}",
            state.release_revision,
            apis=(GUIDE_API,),
            versions=tuple(Version(v, "guide", 1.0) for v in declared),
            withdrawn=withdrawn,
            organisations=(team,),
        )
        state = fold(state, offset, note).state
    return state


def test_session_keeps_its_version_at_another_entry():
    # The entry that pinned a chat fails, and the caller's next message reaches another
    # entry. A different version in the middle of the chat would lose its context.
    fleet = fold_notes(([V1, V2], ()))
    token = SessionPins(("s",)).issue(ORGANISATION.name, "guide", "chat", V2)
    other = SessionPins(("s",))
    assert other.pinned_version(fleet, ORGANISATION, GUIDE_API, "chat", token) == V2
    fleet = fold_notes(([V1, V2], ()), ([V3], (V2,)))
    assert other.pinned_version(fleet, ORGANISATION, GUIDE_API, "chat", token) is None


def test_tokens_are_bound_to_their_session_and_survive_secret_rotation():
    fleet = fold_notes(([V1, V2], ()))
    old, new = SessionPins(("s",)), SessionPins(("t", "s"))
    token = old.issue(ORGANISATION.name, "guide", "chat", V2)
    assert new.pinned_version(fleet, ORGANISATION, GUIDE_API, "chat", token) == V2
    for reader, session in ((new, "other"), (SessionPins(("t",)), "chat")):
        assert (
            reader.pinned_version(fleet, ORGANISATION, GUIDE_API, session, token) == V1
        )
    assert new.read(token, "rival", "guide", "chat") is None
    assert (
        old.pinned_version(fleet, ORGANISATION, GUIDE_API, "chat", NEW_SESSION) is None
    )
    assert SessionPins(("",)).issue(ORGANISATION.name, "guide", "chat", V2) == ""


@given(st.text(max_size=80))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_invalid_tokens_are_ignored(token):
    pins = SessionPins(("s",))
    assert pins.read(token, ORGANISATION.name, "guide", "chat") is None


steps = st.lists(
    st.tuples(
        st.sets(st.sampled_from([V1, V2, V3]), max_size=2),
        st.sets(st.sampled_from([V1, V2, V3]), max_size=1),
        st.sampled_from([("*",), ("1", "3"), ("2", "3"), ("2",)]),
    ),
    max_size=8,
)


@given(steps)
@settings(derandomize=True, deadline=None, max_examples=150)
def test_session_without_token_changes_version_only_when_it_is_unusable(steps):
    # Some callers cannot send tokens. Their version must not change because a new one
    # is rolled out, an old one becomes usable again, or more versions are allowed.
    pins = SessionPins(("s",))
    notes, before = [([V1, V2, V3], ())], None
    for declared, withdrawn, allowed in steps:
        notes.append((sorted(declared), tuple(sorted(withdrawn)), allowed))
        fleet = fold_notes(*notes)
        team = fleet.organisations[ORGANISATION.name]
        now = pins.pinned_version(fleet, team, GUIDE_API, "till", "")
        may_stay = before is not None and team.allows(before)
        if may_stay and fleet.is_usable(before):
            assert now == before
        assert now is None or (fleet.is_usable(now) and team.allows(now))
        before = now


def test_order_with_a_stale_fence_is_refused():
    # A process is paused while a new release comes into force. Its stale order arrives
    # at a sidecar that was restarted in the meantime.
    revision = 4
    gate = FenceGate(lambda: revision)
    assert gate.admit(4) is None
    assert gate.admit(9) is None
    assert gate.admit(8).reason is Reason.STALE_FENCE
    assert gate.admit(9) is None
    fresh = FenceGate(lambda: 9)
    assert fresh.admit(8).not_run


class FakeWeightStore:
    """Grants one load every 10 s; the first two calls fail."""

    def __init__(self):
        self.failures, self.free_s, self.granted_s = 2, 0.0, []

    async def acquire(self, weights):
        now_s = asyncio.get_running_loop().time()
        if self.failures > 0:
            self.failures -= 1
            raise PlatformUnavailableError
        if now_s < self.free_s:
            return self.free_s - now_s
        self.free_s = now_s + 10.0
        self.granted_s.append(now_s)
        return 0.0


def test_loads_are_rate_limited_and_a_stale_load_does_not_start():
    async def main():
        store, gate = FakeWeightStore(), FenceGate(lambda: 0)
        loads = [
            wait_for_permit(store, f"w{n}", lambda: None, 100.0, Random(n))
            for n in range(3)
        ]
        gate.admit(5)
        stale = wait_for_permit(store, "old", lambda: gate.admit(3), 100.0, Random(9))
        assert (await stale).reason is Reason.STALE_FENCE
        assert await asyncio.gather(*loads) == [None, None, None]
        assert all(b - a >= 10 for a, b in pairwise(store.granted_s))
        late = await wait_for_permit(store, "w", lambda: None, 0.0, Random(1))
        assert isinstance(late, Refusal) and late.not_run

    run_virtual(main)
