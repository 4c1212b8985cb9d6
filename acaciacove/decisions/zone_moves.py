"""Traffic shares of availability zones that go out of service and return."""

from attrs import define, field

from acaciacove.fleet.fleet_state import FleetState

RETURN_RAMP_S = 30.0
FIRST_SHARE = 0.1


@define
class ZoneMoves:
    """Share of its normal traffic that each availability zone gets.

    A zone that goes out loses its traffic at once. It returns over ``return_s``: the
    caches and connections of its endpoints are cold, and with a full share at once
    they would be the slowest. A flapping zone restarts its ramp each time, so its
    traffic does not oscillate.
    """

    return_s: float = RETURN_RAMP_S
    _returned_at_s: dict[str, float] = field(factory=dict)
    _out: frozenset[str] = frozenset()

    def update(self, fleet: FleetState, now_s: float) -> None:
        """Apply the current set of zones that are out."""
        for zone in self._out - fleet.availability_zones_out:
            self._returned_at_s[zone] = now_s
        for zone in fleet.availability_zones_out:
            self._returned_at_s.pop(zone, None)
        self._out = fleet.availability_zones_out

    def share(self, availability_zone: str, now_s: float) -> float:
        """Return the zone's share, from 0 while out to 1 in full service."""
        if availability_zone in self._out:
            return 0.0
        returned_at_s = self._returned_at_s.get(availability_zone)
        if returned_at_s is None:
            return 1.0
        elapsed_share = (now_s - returned_at_s) / self.return_s
        return min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * elapsed_share)
