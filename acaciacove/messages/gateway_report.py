"""State report from one gateway to another."""

from attrs import frozen

from acaciacove.messages.rollout_view import RolloutView
from acaciacove.messages.version_cell import VersionCell


@frozen
class GatewayReport:
    """Age of the sender's routing view, and evidence on the current roll-outs.

    ``confirmed_age_s`` is the time since the sender's last request to the log that
    confirmed ``revision`` as the newest decision; infinite if there was none.
    ``echo`` is the ``nonce`` of the receiver's last report. It proves that this
    report was created after that one was sent, however long it has waited in a
    queue. ``address`` is IP:PORT. ``outcomes_offset`` is the end of the log of
    roll-out outcomes when the sender read it. ``revision`` and ``outcomes_offset`` are
    offsets of ``era`` and ``outcomes_era``, the eras of the log that the sender had
    read them in.
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
    era: int = 0
    outcomes_era: int = 0
