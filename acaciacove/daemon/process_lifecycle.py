"""Lifecycle of a process: a shared state machine with a model per process."""

from typing import Any

from transitions import Machine

from acaciacove.daemon.process_state import ProcessState


class ProcessLifecycle:
    """The state of one process; the shared machine sets ``state``.

    ``become_ready`` is triggered once a revision is known. ``announce_leaving`` is
    triggered on SIGTERM: readiness fails, and requests are still accepted until the
    load balancer has noticed. ``drain`` is triggered when new requests are refused,
    and ``stop`` when none is in flight.
    """

    state: str
    become_ready: Any
    announce_leaving: Any
    drain: Any
    stop: Any

    def __init__(self) -> None:
        """Start in the state ``starting``."""
        _MACHINE.add_model(self)

    @property
    def accepts_callers(self) -> bool:
        """Return whether the load balancer may send new callers here."""
        return self.state == ProcessState.READY

    @property
    def takes_work(self) -> bool:
        """Return whether a request that arrives now is served."""
        return self.state in (ProcessState.READY, ProcessState.NOTICE)

    @property
    def is_shutting_down(self) -> bool:
        """Return whether this process was asked to shut down."""
        return self.state not in (ProcessState.STARTING, ProcessState.READY)


_MACHINE = Machine(
    model=None,
    states=[state.value for state in ProcessState],
    initial=ProcessState.STARTING.value,
    auto_transitions=False,
    ignore_invalid_triggers=True,
    transitions=[
        ["become_ready", ProcessState.STARTING.value, ProcessState.READY.value],
        [
            "announce_leaving",
            [ProcessState.STARTING.value, ProcessState.READY.value],
            ProcessState.NOTICE.value,
        ],
        ["drain", ProcessState.NOTICE.value, ProcessState.DRAINING.value],
        ["stop", "*", ProcessState.STOPPED.value],
    ],
)
