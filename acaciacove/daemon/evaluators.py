"""Choice of the entries that read ratings and judge roll-outs for all."""

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.state.rendezvous import rank_owners

EVALUATION_PARTITION = 1_000_001
EVALUATOR_COUNT = 2


def evaluator_names(instances: list[Instance], local_name: str = "") -> list[str]:
    """Return the names of the entries that read ratings and judge roll-outs.

    Every process ranks the live entries by the same hash, so no election is needed.
    While processes disagree for a short time, three entries or one may read ratings,
    which does no harm.
    """
    entries = {i.name for i in instances if i.role is Role.ENTRY}
    if local_name:
        entries.add(local_name)
    return rank_owners(EVALUATION_PARTITION, entries)[:EVALUATOR_COUNT]
