"""One gateway's view of operator decisions and endpoints."""

import time
from collections.abc import Callable

from attrs import define, field

from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.catalogue.rollout_status import RolloutStatus


def boot_time_s() -> float:
    """Return the time of the clock that keeps running while the machine is suspended.

    The event loop's clock stops during a suspend, so a stale view would look fresh to a
    process that has just resumed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@define(eq=False)
class RoutingView:
    """The newest state of every key that this process has read.

    ``confirmed_boot_s`` is the start of the latest request whose answer showed
    ``operator_revision``, an offset of ``operator_era``, to be the newest decision: the
    view contains every decision made before it. ``endpoints_confirmed_boot_s`` is the
    same for the entries of endpoints. ``zones_back_s`` is when the zones that were out
    have been taken back, on the event loop's clock.
    """

    clock_s: Callable[[], float] = boot_time_s
    catalogue: Catalogue | None = None
    zones_out: dict[str, int] = field(factory=dict)
    zones_back_s: dict[str, float] = field(factory=dict)
    orders: dict[str, RolloutOrder] = field(factory=dict)
    outcomes: dict[str, RolloutStatus] = field(factory=dict)
    endpoints: dict[str, Endpoint] = field(factory=dict)
    endpoints_loaded: bool = False
    outcomes_loaded: bool = False
    operator_revision: int = -1
    operator_era: int = 0
    confirmed_boot_s: float = float("-inf")
    endpoints_confirmed_boot_s: float = float("-inf")

    def confirm(self, requested_boot_s: float) -> None:
        """Record that the decisions were complete at ``requested_boot_s``."""
        self.confirmed_boot_s = max(self.confirmed_boot_s, requested_boot_s)

    def confirm_endpoints(self, complete_boot_s: float) -> None:
        """Record that the endpoints' entries were complete at ``complete_boot_s``."""
        self.endpoints_confirmed_boot_s = max(
            self.endpoints_confirmed_boot_s, complete_boot_s
        )

    @property
    def endpoints_age_s(self) -> float:
        """Time since the endpoints' entries were last known to be complete."""
        return self.clock_s() - self.endpoints_confirmed_boot_s

    @property
    def confirmed_age_s(self) -> float:
        """Time since the decisions were last known to be complete."""
        return self.clock_s() - self.confirmed_boot_s

    @property
    def is_usable(self) -> bool:
        """Return whether requests can be routed.

        A process that has just started and has read a roll-out order but not its
        outcome would send requests to a version that has been stopped or is faulty.
        """
        return (
            self.catalogue is not None
            and self.endpoints_loaded
            and (self.outcomes_loaded or not self.orders)
        )
