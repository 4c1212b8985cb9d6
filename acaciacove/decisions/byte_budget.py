"""Bytes that one gateway holds for callers and endpoints, and which caller gives way.

Answers the load of many slow callers and large request bodies at once, whose bytes
would together exceed the memory of the gateway.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

# The share of a gateway's memory limit that request and response bytes may take. The
# interpreter, the routing view and the connections need most of the rest.
BUDGET_SHARE = 0.25
# An answer that its caller reads slowly holds at most this much.
MAX_ANSWER_BYTES = 262_144
# The most that one read from a connection adds.
READ_BYTES = 16_384
# The share of the budget that is left to bodies of at most one read, to the first read
# of each answer, and to reads that have been allowed but not made yet.
RESERVE_SHARE = 0.125
# An answer may grow up to this share of the other free bytes. Large holders therefore
# stop growing first, and answers that hold little still grow.
GROWTH_SHARE = 0.125
# The share of the budget that request bodies in flight at one endpoint may take.
ENDPOINT_SHARE = 0.25
# A caller that has read nothing for this long may be disconnected for others.
CALLER_IDLE_S = 10.0


class ByteBudget:
    """Counts the bytes that are held; ``limit_bytes`` is 0 without a limit."""

    def __init__(self, limit_bytes: int = 0) -> None:
        """Start with nothing held."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def free_bytes(self) -> float:
        """Bytes that may still be reserved; infinite without a limit."""
        if not self.limit_bytes:
            return float("inf")
        return max(0, self.limit_bytes - self.held_bytes)

    @property
    def _unreserved_bytes(self) -> float:
        return self.free_bytes - RESERVE_SHARE * self.limit_bytes

    def may_accept(self, size_bytes: int, held_bytes: int = 0) -> bool:
        """Return whether a body with some bytes held already may take more."""
        if held_bytes + size_bytes <= READ_BYTES:
            return size_bytes <= self.free_bytes
        return size_bytes <= self._unreserved_bytes

    def reserve(self, size_bytes: int, held_bytes: int = 0) -> bool:
        """Hold more bytes of a body; return False if they do not fit."""
        if not self.may_accept(size_bytes, held_bytes):
            return False
        self.held_bytes += size_bytes
        return True

    def hold(self, size_bytes: int) -> None:
        """Hold bytes that have arrived and cannot be refused.

        They may exceed the limit: by at most one read per connection, since only
        connections that hold nothing are read from then.
        """
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Release held bytes; raises ValueError for more than are held."""
        if size_bytes > self.held_bytes:
            raise ValueError(f"{size_bytes} bytes released of {self.held_bytes} held")
        self.held_bytes -= size_bytes

    def may_grow(self, held_bytes: int) -> bool:
        """Return whether a holder of this many bytes may make another read.

        One that holds nothing always may: its bytes are passed on at once if the
        other side reads, so quick callers are served while the budget is exhausted.
        """
        allowed_bytes = GROWTH_SHARE * self._unreserved_bytes
        return not held_bytes or held_bytes + READ_BYTES <= allowed_bytes

    def may_send(self, in_flight_bytes: int, body_bytes: int) -> bool:
        """Return whether an endpoint with bodies in flight may be sent another one.

        An endpoint without any is sent a body of every size.
        """
        if not self.limit_bytes or not in_flight_bytes:
            return True
        return in_flight_bytes + body_bytes <= ENDPOINT_SHARE * self.limit_bytes


class UnreadAnswer(Protocol):
    """A caller's unread bytes, and when it last read, on the event loop's clock."""

    @property
    def unread_bytes(self) -> int:
        """Bytes of answers that the caller has not read."""

    @property
    def last_read_s(self) -> float:
        """When the caller last read, or when its oldest unread byte was made."""


AnswerT = TypeVar("AnswerT", bound=UnreadAnswer)


def choose_caller_to_cut(answers: Iterable[AnswerT], now_s: float) -> AnswerT | None:
    """Return the largest holder among callers that read nothing, None without any."""
    idle = [
        answer
        for answer in answers
        if answer.unread_bytes and now_s - answer.last_read_s >= CALLER_IDLE_S
    ]
    return max(idle, key=lambda answer: answer.unread_bytes, default=None)
