"""How traffic leaves an availability zone, and how it returns."""

from attrs import define, field

from acaciacove.fleet.fleet_state import FleetState

RETURN_RAMP_S = 30.0
FIRST_SHARE = 0.1


@define
class ZoneMoves:
    """The share of its normal traffic that each availability zone gets.

    A zone goes out at once. It returns over ``RETURN_RAMP_S``: its endpoints' caches
    and connections are cold, and a full share at once would make them the slowest. A
    zone that flaps starts over each time, so it cannot swing traffic to and fro.
    """

    return_s: float = RETURN_RAMP_S
    _returned_at_s: dict[str, float] = field(factory=dict)
    _out: frozenset[str] = frozenset()

    def update(self, fleet: FleetState, now_s: float) -> None:
        """Take in the zones that are out now."""
        for zone in self._out - fleet.availability_zones_out:
            self._returned_at_s[zone] = now_s
        for zone in fleet.availability_zones_out:
            self._returned_at_s.pop(zone, None)
        self._out = fleet.availability_zones_out

    def share(self, availability_zone: str, now_s: float) -> float:
        """Return the zone's share, 0 while out to 1 in full service."""
        if availability_zone in self._out:
            return 0.0
        returned_at_s = self._returned_at_s.get(availability_zone)
        if returned_at_s is None:
            return 1.0
        passed = (now_s - returned_at_s) / self.return_s
        return min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * passed)
