"""Plans which version each endpoint holds."""

from collections.abc import Mapping

from acaciacove.decisions.placement_move import PlacementMove
from acaciacove.fleet.version_id import VersionId

MAX_MOVES = 2
MIN_GAIN = 0.15


def plan_moves(
    placed: Mapping[str, VersionId],
    work: Mapping[VersionId, float],
    moving: frozenset[str] = frozenset(),
    max_moves: int = MAX_MOVES,
) -> tuple[PlacementMove, ...]:
    """Plan the next few moves towards equal work per endpoint.

    ``placed`` maps endpoints to the version that they hold. ``work`` maps versions to
    their measured demand, in busy endpoints. Endpoints in ``moving`` are still loading
    and count against ``max_moves``. A version with work keeps at least one endpoint.
    Callers plan again from new measurements after each step.
    """
    counts = dict.fromkeys(work, 0)
    for version in placed.values():
        counts[version] = counts.get(version, 0) + 1
    moves: list[PlacementMove] = []
    free = sorted(name for name in placed if name not in moving)
    while len(moves) + len(moving) < max_moves:
        move = _best_move(placed, work, counts, free)
        if move is None:
            break
        counts[move.load] += 1
        counts[move.instead_of] -= 1
        free.remove(move.endpoint)
        moves.append(move)
    return tuple(moves)


def _best_move(
    placed: Mapping[str, VersionId],
    work: Mapping[VersionId, float],
    counts: dict[VersionId, int],
    free: list[str],
) -> PlacementMove | None:
    """Return a move from the least utilised version to the most utilised one.

    The utilisation of the receiver before the move must exceed that of the donor after
    it by more than ``MIN_GAIN``. Returns None otherwise, or if no endpoint is free.
    """

    def utilisation(version: VersionId, change: int = 0) -> float:
        count = counts[version] + change
        demand = work.get(version, 0.0)
        return demand / count if count > 0 else (float("inf") if demand else 0.0)

    receiver = max(sorted(counts), key=utilisation)
    donors = [v for v in sorted(counts) if v != receiver and counts[v] > 0]
    if not donors:
        return None
    donor = min(donors, key=lambda v: utilisation(v, -1))
    if utilisation(donor, -1) + MIN_GAIN >= utilisation(receiver):
        return None
    for name in free:
        if placed[name] == donor:
            return PlacementMove(name, receiver, donor)
    return None
