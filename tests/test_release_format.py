"""Tests of release notes in YAML: round trips, and faults with line and path."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.call_rule import CallRule
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.release_format.check_note import check_note
from acaciacove.release_format.invalid_note_error import InvalidNoteError
from acaciacove.release_format.read_note import read_note
from acaciacove.release_format.write_note import document_from_note, write_document
from acaciacove.standins.souk import SOUK
from acaciacove.standins.swimhole import SWIMHOLE
from acaciacove.state.reducer import fold
from acaciacove.state.release_note import ReleaseNote

MAX_BYTES = 262_144
EXAMPLES = Path(__file__).parent.parent / "examples"

names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True)
texts = st.text(st.characters(codec="utf-8", exclude_categories=["C"]), max_size=30)
shares = st.floats(0, 1)
numbers = st.floats(0, 1e6)
version_ids = st.builds(VersionId, names, names)
calls = st.builds(CallRule, st.sampled_from(["POST", "PUT"]), names.map("/".__add__))
apis = st.builds(
    Api,
    names,
    st.sampled_from(ApiKind),
    shares,
    st.lists(calls, max_size=2).map(tuple),
    st.booleans(),
)
versions = st.builds(
    Version,
    version_ids,
    api=names,
    cost_per_1k_tokens=numbers,
    quality=shares,
    cold_bears=st.integers(1, 8),
    warm_bears=st.integers(8, 99),
    warm_up_s=numbers,
    replaces=st.none(),
    first_share=shares,
)
digests = st.from_regex(r"[0-9a-f]{64}", fullmatch=True)
organisations = st.builds(
    Organisation,
    names,
    st.lists(digests, max_size=2).map(tuple),
    st.dictionaries(names, st.lists(names | st.just("*"), max_size=2).map(tuple)),
    st.floats(0.1, 99),
)


def unique(strategy, key):
    return st.lists(strategy, max_size=3, unique_by=key).map(tuple)


@st.composite
def notes(draw):
    declared_versions = draw(
        unique(versions | version_ids, lambda v: getattr(v, "id", v))
    )
    declared_organisations = draw(
        unique(organisations | names, lambda o: getattr(o, "name", o))
    )
    return ReleaseNote(
        draw(names),
        draw(st.integers(-1, 2**40)),
        draw(texts),
        draw(texts),
        draw(unique(apis, lambda api: api.name)),
        tuple(v for v in declared_versions if isinstance(v, Version)),
        tuple(v for v in declared_versions if isinstance(v, VersionId)),
        tuple(o for o in declared_organisations if isinstance(o, Organisation)),
        tuple(o for o in declared_organisations if isinstance(o, str)),
    )


@given(notes())
@settings(derandomize=True, deadline=None, max_examples=100)
def test_note_round_trips_through_yaml(note):
    text = write_document(document_from_note(note, FleetState()))
    document = read_note(text.encode(), MAX_BYTES)
    assert document.release_note(based_on=0) == note


@given(notes(), notes())
@settings(derandomize=True, deadline=None, max_examples=50)
def test_added_and_changed_depend_on_the_state_in_force(first, second):
    state = fold(FleetState(), 0, ReleaseNote("n", -1, apis=first.apis)).state
    document = document_from_note(second, state)
    assert read_note(write_document(document).encode(), MAX_BYTES) == document
    assert all(api.name in state.apis for api in document.changed.apis)
    assert not any(api.name in state.apis for api in document.added.apis)


@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_arbitrary_bytes_raise_invalid_note_error(data):
    with pytest.raises(InvalidNoteError):
        read_note(data, MAX_BYTES)


def faults_of(text, max_bytes=MAX_BYTES):
    data = text if isinstance(text, bytes) else text.encode()
    with pytest.raises(InvalidNoteError) as raised:
        read_note(data, max_bytes)
    return [(fault.line, fault.path, fault.message) for fault in raised.value.faults]


def test_every_fault_is_listed_with_its_line_and_path():
    # A note written by hand may have several faults. If only the first were reported,
    # the operator would need one more attempt for each of the others.
    text = """\
note: yes
colour: red
added:
  apis:
    - {name: guide, kind: modell}
    - name: guide
      kind: model
      quality_target: 3
  versions:
    - id: small@1
      api: [guide]
      cost_per_1k_tokens: cheap
      quality: 0.5
      quality: 0.6
    - {id: small@2, api: guide, cost_per_1k_tokens: 1, cold_bears: 9}
  organisations:
    - {name: a, token_sha256: [secret-token]}
withdrawn:
  versions: [small@2, large]
changed: [1]
"""
    found = [(line, path) for line, path, _ in faults_of(text)]
    assert found == [
        (1, "note"),
        (2, "colour"),
        (5, "added.apis[0].kind"),
        (6, "added.apis[1]"),
        (8, "added.apis[1].quality_target"),
        (11, "added.versions[0].api"),
        (12, "added.versions[0].cost_per_1k_tokens"),
        (14, "added.versions[0].quality"),
        (15, "added.versions[1].cold_bears"),
        (17, "added.organisations[0].allowed"),
        (17, "added.organisations[0].token_sha256[0]"),
        (19, "withdrawn.versions[0]"),
        (19, "withdrawn.versions[1]"),
        (20, "changed"),
    ]


def test_a_version_that_is_added_and_withdrawn_is_refused():
    # Two people edit one note: one adds a version, the other withdraws it. The result
    # would depend on the order in which the two lists are processed.
    text = """\
note: n
added:
  versions:
    - {id: small@1, api: guide, cost_per_1k_tokens: 1}
withdrawn:
  versions: [small@1]
"""
    message = "small@1 stands already at added.versions[0]"
    assert faults_of(text) == [(6, "withdrawn.versions[0]", message)]


def test_text_that_is_no_yaml_is_refused_with_its_line():
    (fault,) = faults_of("note: n\nadded: [1,\n")
    assert fault[0] >= 2
    assert "not valid YAML" in fault[2]
    assert faults_of(b"note: n\nsummary: \xff")[0][::2] == (2, "not UTF-8 text")
    assert faults_of("")[0][2] == "the release note is empty"
    assert "not valid YAML" in faults_of("note: a\n---\nnote: b\n")[0][2]


def test_an_oversized_note_is_refused_before_it_is_parsed():
    faults = faults_of("note: n\n# " + "x" * 100, max_bytes=50)
    assert faults == [(0, "", "the release note has 110 bytes, the limit is 50")]


def test_nested_aliases_are_refused_before_expansion():
    # Nine lines of aliases expand to ten billion elements. A reader that follows them
    # exhausts the memory of the operator's machine, even if the note is only validated.
    lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x, x]"]
    for level in range(1, 10):
        items = ", ".join([f"*a{level - 1}"] * 10)
        lines.append(f"a{level}: &a{level} [{items}]")
    faults = faults_of("\n".join(lines))
    assert faults[0] == (2, "", "aliases are not taken; write the value out")


def test_deep_nesting_is_refused():
    # Deep nesting exhausts the stack of a recursive reader and crashes the command
    # without an error message.
    assert faults_of("[" * 50) == [(1, "", "nested deeper than 12")]
    (fault,) = faults_of("[" * 50_000)
    assert fault[0] == 1


def test_token_in_place_of_its_digest_is_not_quoted():
    # An operator pastes the token itself instead of its digest. A message that quotes
    # it would put a valid credential into terminals and CI logs.
    text = "note: n\nadded:\n  organisations:\n    - name: a\n"
    text += "      allowed: {}\n      token_sha256: [secret-token]\n"
    ((line, _, message),) = faults_of(text)
    assert line == 6
    assert "secret-token" not in message


@pytest.mark.parametrize("place", ["token_sha256", "allowed"])
def test_token_in_place_of_a_list_or_a_mapping_is_not_quoted(place):
    """Guards against a credential in terminals and CI logs."""
    fields = {"token_sha256": "[]", "allowed": "{}"} | {place: "secret-token"}
    text = "note: n\nadded:\n  organisations:\n    - name: a\n"
    text += "".join(f"      {name}: {value}\n" for name, value in fields.items())
    messages = [message for _, _, message in faults_of(text)]
    assert messages and "secret-token" not in "".join(messages)


def test_numbers_and_dates_are_accepted_as_text_but_booleans_are_not():
    document = read_note(b"note: 2026-12-03\nsummary: 1.10\n", MAX_BYTES)
    assert (document.note_id, document.summary) == ("2026-12-03", "1.10")
    assert faults_of("note: n\nsummary: off")[0][2].endswith("put it in quotes")


def state_in_force():
    note = ReleaseNote(
        "first",
        -1,
        apis=(Api("guide", ApiKind.MODEL),),
        versions=(Version(VersionId("small", "1"), "guide", 1.0),),
        organisations=(Organisation("a"),),
    )
    return fold(FleetState(), 0, note).state


def test_escape_sequences_are_refused_and_not_repeated():
    # A summary that moves the cursor could hide a withdrawal from an operator who
    # lists the history.
    faults = faults_of('note: n\nsummary: "a\\e[2Jb"\n"\\e[1A": 1\n')
    assert [fault[:2] for fault in faults] == [(2, "summary"), (3, "")]
    assert not any("\x1b" in "".join(map(str, fault)) for fault in faults)


def test_unknown_names_are_refused_with_line_and_path():
    # A note allows a model that no version serves, or changes a version that was never
    # released. Without this check callers would be refused; the operator must see the
    # faults before publishing.
    text = b"""\
note: n
based_on: 7
added:
  apis:
    - {name: guide, kind: model}
  versions:
    - {id: large@1, api: chat, cost_per_1k_tokens: 1, replaces: large@0}
changed:
  versions:
    - {id: small@9, api: guide, cost_per_1k_tokens: 1}
  organisations:
    - name: a
      token_sha256: []
      allowed:
        medium: ["*"]
        small: ["1", "4"]
withdrawn:
  versions: [small@3]
  organisations: [b]
"""
    faults = check_note(read_note(text, MAX_BYTES), state_in_force())
    assert [(fault.line, fault.path) for fault in faults] == [
        (2, "based_on"),
        (5, "added.apis[0]"),
        (7, "added.versions[0].api"),
        (7, "added.versions[0].replaces"),
        (10, "changed.versions[0]"),
        (15, "changed.organisations[0].allowed.medium"),
        (16, "changed.organisations[0].allowed.small[1]"),
        (18, "withdrawn.versions[0]"),
        (19, "withdrawn.organisations[0]"),
    ]


@pytest.mark.parametrize("deployment", [SWIMHOLE, SOUK], ids=lambda d: d.name)
def test_the_demo_publishes_the_first_example_of_each_deployment(deployment):
    file = EXAMPLES / f"{deployment.name}-release.yaml"
    document = read_note(file.read_bytes(), MAX_BYTES)
    assert document.release_note(based_on=-1) == deployment.note


@pytest.mark.parametrize("deployment", ["swimhole", "souk"])
def test_the_examples_of_a_deployment_apply_one_after_the_other(deployment):
    state = FleetState()
    files = ["release", "rollout", "withdrawal"]
    for offset, name in enumerate(files):
        file = EXAMPLES / f"{deployment}-{name}.yaml"
        document = read_note(file.read_bytes(), MAX_BYTES)
        assert check_note(document, state) == []
        note = document.release_note(state.release_revision)
        state = fold(state, offset, note).state
        assert state.release_revision == offset
    assert len(state.organisations) >= 10
