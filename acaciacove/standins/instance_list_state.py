"""State of the instance-list stand-in."""

from attrs import define, evolve, field

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.standins.instance_list_faults import InstanceListFaults


@define
class InstanceListState:
    """Every published list with the time of its publication."""

    faults: InstanceListFaults = field(factory=InstanceListFaults)
    history: list[tuple[float, tuple[Instance, ...]]] = field(factory=list)
    fetches: int = 0

    def publish(self, now_s: float, instances: tuple[Instance, ...]) -> None:
        """Publish the list that holds from ``now_s`` on."""
        self.history.append((now_s, instances))

    def listed(self, now_s: float) -> list[Instance]:
        """Return the list as readers get it, with its lag and errors."""
        as_of_s = now_s - self.faults.lag_s
        current: tuple[Instance, ...] = ()
        for since_s, instances in self.history:
            if since_s <= as_of_s:
                current = instances
        return [
            self._with_faults(i) for i in current if i.name not in self.faults.hidden
        ]

    def _with_faults(self, instance: Instance) -> Instance:
        if instance.name in self.faults.called_live:
            return evolve(instance, status=InstanceStatus.LIVE)
        return instance
