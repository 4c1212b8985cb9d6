"""Lifecycle of a process: one shared machine, a small model for each process."""

from typing import Any

from transitions import Machine

from acaciacove.daemon.process_state import ProcessState


class ProcessLifecycle:
    """The state of one process; ``state`` is set by the shared machine.

    ``become_ready`` comes once a revision is known, ``announce_leaving`` on SIGTERM
    (readiness fails, work is still taken while the balancer notices), ``drain`` when
    new work is refused, ``stop`` when nothing is in flight.
    """

    state: str
    become_ready: Any
    announce_leaving: Any
    drain: Any
    stop: Any

    def __init__(self) -> None:
        """Begin in the starting state."""
        _MACHINE.add_model(self)

    @property
    def accepts_callers(self) -> bool:
        """Tell whether the balancer may send new callers here."""
        return self.state == ProcessState.READY

    @property
    def takes_work(self) -> bool:
        """Tell whether a request that arrives now is served."""
        return self.state in (ProcessState.READY, ProcessState.NOTICE)

    @property
    def is_shutting_down(self) -> bool:
        """Tell whether this process has been asked to stop."""
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
