"""What one gateway tells another."""

from attrs import frozen

from acaciacove.messages.rollout_view import RolloutView
from acaciacove.messages.version_cell import VersionCell


@frozen
class GatewayReport:
    """Age of beliefs, and evidence on roll-outs that are under way.

    ``confirmed_age_s`` is how long ago the sender last asked the log and learnt
    that ``revision`` is the newest decision; infinite when never. ``echo`` is
    the ``nonce`` of the receiver's last report: it proves that this one was made
    after that one was sent, however long it has waited in a queue.
    ``address`` is IP:PORT. ``outcomes_offset`` is where the log of roll-outs' outcomes
    ended when the sender read it.
    """

    instance: str
    incarnation: int
    address: str
    revision: int
    confirmed_age_s: float
    nonce: int
    echo: int
    reply_wanted: bool
    rollouts: tuple[RolloutView, ...]
    cells: tuple[VersionCell, ...]
    availability_zone: str
    outcomes_offset: int = -1
