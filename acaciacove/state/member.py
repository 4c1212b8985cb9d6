"""One instance in the membership of the fleet."""

from typing import Any

from attrs import define
from transitions import Machine

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus

NEVER_S = -1e9


@define(eq=False, slots=False)
class Member:
    """An instance with the evidence about it; ``state`` follows the shared lifecycle.

    Times are those of the event loop, in seconds. ``incarnation`` is the highest one
    seen; evidence about a lower one concerns a process that no longer exists.
    ``known_since_s`` is when that incarnation became known, ``heard_s`` when the last
    message of the instance was received, and ``probed_s`` when it was last probed.
    ``learned_s`` is when this process last learned that it is leaving or gone, and
    ``missing_since_s`` when it disappeared from the platform's list. A ``watched``
    instance is gone if it stays silent.
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
    # The shared lifecycle machine adds these triggers to each member.
    serve: Any = None
    leave: Any = None
    lose: Any = None
    restart: Any = None

    def __attrs_post_init__(self) -> None:
        """Add this member to the shared lifecycle machine."""
        for trigger in ("serve", "leave", "lose", "restart"):
            delattr(self, trigger)
        LIFECYCLE.add_model(self, initial=self.state)

    @property
    def status(self) -> InstanceStatus:
        """Return the state as the enum value that instances and messages use."""
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
