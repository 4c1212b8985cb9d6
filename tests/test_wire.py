"""The codec restores messages, and malformed bytes raise MalformedMessageError."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.errors import MalformedMessageError
from acaciacove.messages.chunk import Chunk
from acaciacove.messages.end import End
from acaciacove.messages.header import Header
from acaciacove.messages.load import Load
from acaciacove.messages.refused import Refused
from acaciacove.messages.run import Run
from acaciacove.wire.codec import decode, encode

texts = st.text(max_size=20).filter(lambda text: "\x00" not in text)
headers = st.lists(st.builds(Header, texts, texts), max_size=3).map(tuple)
messages = st.one_of(
    st.builds(Run, texts, st.integers(0, 9), st.integers(-1, 9), texts, texts, texts,
              headers=headers, body=st.binary(max_size=99)),
    st.builds(Chunk, texts, st.just(1), st.integers(0, 2**31), st.binary(max_size=99)),
    st.builds(Refused, texts, st.just(1), texts, st.booleans(),
              retry_after_s=st.none() | st.floats(0, 1e6)),
    st.builds(End, texts, st.just(1), st.integers(0, 9), load=st.builds(Load)),
)  # fmt: skip


@given(messages)
@settings(derandomize=True, deadline=None, max_examples=100)
def test_messages_decode_unchanged(message):
    assert decode(encode(message)) == message


@given(st.binary(max_size=64))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_random_bytes_decode_or_raise_malformed_message_error(data):
    try:
        decode(data)
    except MalformedMessageError:
        return


def test_a_truncated_message_raises_malformed_message_error():
    data = encode(Run("r", 1, 0, "org", "guide", "m@1", body=b"x" * 100))
    with pytest.raises(MalformedMessageError):
        decode(data[: len(data) // 2])
