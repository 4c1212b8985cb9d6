"""One instance as membership knows it."""

from typing import Any

from attrs import define
from transitions import Machine

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus

NEVER_S = -1e9


@define(eq=False, slots=False)
class Member:
    """An instance with the evidence on it; ``state`` follows the shared lifecycle.

    Times are the loop's, in seconds. ``incarnation`` is the highest that is known;
    evidence on a lower one is about a process that no longer exists.
    """

    instance: Instance
    incarnation: int
    known_since_s: float
    heard_s: float = NEVER_S
    probed_s: float = NEVER_S
    learned_s: float = NEVER_S
    missing_since_s: float | None = None
    announced_leaving: bool = False
    watched: bool = False
    state: str = InstanceStatus.STARTING.value
    # The shared lifecycle machine sets these triggers on each member.
    serve: Any = None
    leave: Any = None
    lose: Any = None
    restart: Any = None

    def __attrs_post_init__(self) -> None:
        """Join the machine that all members share."""
        for trigger in ("serve", "leave", "lose", "restart"):
            delattr(self, trigger)
        LIFECYCLE.add_model(self, initial=self.state)

    @property
    def status(self) -> InstanceStatus:
        """Return the state as instances and messages spell it."""
        return InstanceStatus(self.state)


LIFECYCLE = Machine(
    model=None,
    states=[status.value for status in InstanceStatus],
    initial=InstanceStatus.STARTING.value,
    auto_transitions=False,
    ignore_invalid_triggers=True,
    transitions=[
        ["serve", ["starting", "gone"], "live"],
        ["leave", ["starting", "live", "gone"], "leaving"],
        ["lose", ["starting", "live", "leaving"], "gone"],
        ["restart", "*", "starting"],
    ],
)
