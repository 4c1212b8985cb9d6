"""The callers that share one byte budget."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.decisions.byte_budget import (
    ByteBudget,
    UnreadAnswer,
    choose_caller_to_cut,
)

# How often callers are checked while answers wait for the budget. It is far shorter
# than the seconds after which endpoints cut off an answer that is not read.
CHECK_EVERY_S = 0.1


class HoldingCaller(UnreadAnswer, Protocol):
    """A caller's connection as this module sees it."""

    @property
    def request_id(self) -> str | None:
        """The id of the caller's current or last request."""

    @property
    def is_denied(self) -> bool:
        """Whether the budget forbids that its answer grows."""

    def wake_writer(self) -> None:
        """Have the answer's writer check again whether the answer may grow."""

    def cut(self) -> None:
        """Disconnect the caller and release its bytes at once."""


ReportCut = Callable[[HoldingCaller, float], None]


def no_report(caller: HoldingCaller, idle_s: float) -> None:
    """Report nothing, for connections without a gateway."""


class HeldBytes:
    """Decides who waits and who is disconnected when the budget is exhausted.

    ``report_cut`` is called with a caller and its idle time before it is disconnected.
    """

    def __init__(self, limit_bytes: int = 0, report_cut: ReportCut = no_report) -> None:
        """Start without callers; ``limit_bytes`` is 0 without a limit."""
        self.budget = ByteBudget(limit_bytes)
        self.report_cut = report_cut
        self._callers: set[HoldingCaller] = set()
        self._waiting: set[HoldingCaller] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, caller: HoldingCaller) -> None:
        """Add an open connection."""
        self._callers.add(caller)

    def discard(self, caller: HoldingCaller) -> None:
        """Remove a closed connection."""
        self._callers.discard(caller)
        self._waiting.discard(caller)

    def reserve(self, account: ByteAccount, size_bytes: int) -> bool:
        """Hold more bytes of a request body; idle callers give way to it."""
        while not account.reserve(size_bytes):
            if not self._cut_idle_caller():
                return False
        return True

    def fits(self, size_bytes: int) -> bool:
        """Return whether a body of this size may be read; idle callers give way."""
        if self.budget.limit_bytes and size_bytes > self.budget.limit_bytes:
            return False
        while not self.budget.may_accept(size_bytes):
            if not self._cut_idle_caller():
                return False
        return True

    def wait(self, caller: HoldingCaller) -> None:
        """Wake the caller's writer regularly until ``stop_waiting``."""
        self._waiting.add(caller)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_EVERY_S, self._check)

    def stop_waiting(self, caller: HoldingCaller) -> None:
        """End a wait; do nothing without one."""
        self._waiting.discard(caller)

    def _check(self) -> None:
        self._timer = None
        while any(caller.is_denied for caller in self._waiting):
            if not self._cut_idle_caller():
                break
        for caller in tuple(self._waiting):
            caller.wake_writer()
        if self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_EVERY_S, self._check)

    def _cut_idle_caller(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        caller = choose_caller_to_cut(self._callers, now_s)
        if caller is None:
            return False
        self.report_cut(caller, now_s - caller.last_read_s)
        self.discard(caller)
        caller.cut()
        return True
