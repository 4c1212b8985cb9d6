"""Requests are parsed completely or refused with one typed reason."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.entry.authenticate import authenticate
from acaciacove.entry.chat_body import ChatBody
from acaciacove.entry.parse_chat import parse_chat
from acaciacove.entry.problem import problem_document
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

HELLO = [{"role": "user", "content": "hello"}]


def test_a_chat_body_is_parsed():
    body = orjson.dumps({"model": "guide", "messages": HELLO, "stream": True})
    chat = parse_chat(body)
    assert isinstance(chat, ChatBody)
    assert (chat.model, chat.stream, chat.prompt_chars) == ("guide", True, 5)


@pytest.mark.parametrize(
    ("document", "expected_detail"),
    [
        ([], "object"),
        ({"messages": HELLO}, "model"),
        ({"model": 5, "messages": HELLO}, "model"),
        ({"model": "guide"}, "messages"),
        ({"model": "guide", "messages": []}, "messages"),
        ({"model": "guide", "messages": ["hi"]}, "messages[0]"),
        ({"model": "guide", "messages": [{"content": "x"}]}, "messages[0].role"),
        ({"model": "guide", "messages": HELLO, "stream": "yes"}, "stream"),
        ({"model": "guide", "messages": HELLO, "max_tokens": True}, "max_tokens"),
        ({"model": "guide", "messages": HELLO, "max_tokens": -1}, "max_tokens"),
    ],
)
def test_an_invalid_chat_body_field_is_named(document, expected_detail):
    refusal = parse_chat(orjson.dumps(document))
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.MALFORMED_REQUEST
    assert refusal.not_run
    assert expected_detail in refusal.detail


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "role", "content", "stream"]), inner
        )
    ),
    max_leaves=12,
)


@given(json_values)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_any_json_is_parsed_or_refused(document):
    assert isinstance(parse_chat(orjson.dumps(document)), ChatBody | Refusal)


@given(st.binary(max_size=40))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_any_bytes_are_parsed_or_refused(body):
    assert isinstance(parse_chat(body), ChatBody | Refusal)


def test_only_a_known_token_is_authenticated():
    digest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
    guides = Organisation("ozark-guides", token_sha256=(digest,))
    fleet = FleetState(organisations={"ozark-guides": guides})
    assert authenticate(fleet, "Bearer secret") == guides
    for authorization in ("", "secret", "Bearer", "Bearer other", "Basic secret"):
        refusal = authenticate(fleet, authorization)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is Reason.BAD_TOKEN


def test_a_problem_document_states_whether_the_request_ran():
    refusal = Refusal(Reason.OVERLOADED, True, "queue full", 2.5)
    document = problem_document(refusal, "r-1")
    assert document["status"] == 429
    assert document["not_run"] is True
    assert document["retry_after_s"] == 2.5
    assert document["instance"] == "r-1"
