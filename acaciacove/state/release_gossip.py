"""Spreads the release stream between processes, without the log if need be.

A pure state machine: time, peers and randomness are handed in, and messages to
send are returned. Its cost per process does not depend on the fleet's size.
"""

from collections.abc import Callable, Sequence
from random import Random

from acaciacove.fleet.fleet_state import NO_REVISION
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.messages.digest import Digest
from acaciacove.messages.message import Message
from acaciacove.messages.pull import Pull
from acaciacove.messages.records import Records
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.outgoing_message import OutgoingMessage
from acaciacove.state.pause_detector import PauseDetector
from acaciacove.state.release_gossip_settings import ReleaseGossipSettings
from acaciacove.state.token_bucket import TokenBucket

NEVER_S = -1e9
CHOICE_ATTEMPTS = 4
MAX_CHARGED_BYTES = 1000


class ReleaseGossip:
    """One process's share of the spread.

    ``status`` returns the process's own lifecycle status and ``evidence`` what it
    has seen of others lately, in the form of ``Digest.peers``. ``pause_detector`` tells
    whether the process may decide, or was paused and has not heard anything since.
    """

    def __init__(
        self,
        me: Instance,
        fleet_store: FleetStore,
        settings: ReleaseGossipSettings,
        random: Random,
        status: Callable[[], InstanceStatus] = lambda: InstanceStatus.LIVE,
        evidence: Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        """Take what the spread works with."""
        self._me = me
        self._fleet_store = fleet_store
        self._settings = settings
        self._random = random
        self._status = status
        self._evidence = evidence
        self._next_digest_s = NEVER_S
        self._announced_revision = NO_REVISION
        self._second_wave_s: float | None = None
        self._last_pull_s = NEVER_S
        self._peer_revisions: dict[str, int] = {}
        self._log_caught_up = False
        self.pause_detector = PauseDetector()
        self._answer_budget = TokenBucket(
            settings.answer_bytes_per_s, settings.answer_burst_bytes
        )

    @property
    def ready(self) -> bool:
        """Tell whether this process knows enough to decide.

        It does once it has read the log to its end, or has caught up with the
        highest revision that ``start_peers`` peers told it. A process that served
        from nothing would refuse allowed teams and serve withdrawn versions.
        """
        if self._fleet_store.revision == NO_REVISION:
            return False
        if self._log_caught_up and not self._fleet_store.has_gap:
            return True
        reported = self._peer_revisions.values()
        enough = len(reported) >= self._settings.start_peers
        return enough and self._fleet_store.revision >= max(reported)

    def mark_log_caught_up(self) -> None:
        """Learn that the release stream has been read to its end."""
        self._log_caught_up = True

    def tick(self, now_s: float, peers: Sequence[Instance]) -> list[OutgoingMessage]:
        """Return what to send now; call it every 0.1 s or so, and on each change.

        ``peers`` are the instances of the fleet that are not known to be gone;
        the own one is skipped.
        """
        self.pause_detector.tick(now_s)
        outgoing: list[OutgoingMessage] = []
        outgoing += self._announce_revision(now_s, peers)
        if now_s >= self._next_digest_s:
            # A fixed phase would let a thousand processes that were started
            # together speak in the same instant, for ever.
            interval_s = self._settings.interval_s * self._random.uniform(0.8, 1.2)
            self._next_digest_s = now_s + interval_s
            outgoing += self._digests_for(peers, 1)
        return outgoing

    def announce_status(
        self, peers: Sequence[Instance], count: int
    ) -> list[OutgoingMessage]:
        """Return digests for ``count`` peers now, such as the word that it leaves."""
        return self._digests_for(peers, count)

    def on_message(
        self, sender: str, message: Message, now_s: float
    ) -> list[OutgoingMessage]:
        """Take a Digest, Pull or Records in and return the replies."""
        match message:
            case Digest():
                return self._on_digest(sender, message, now_s)
            case Pull():
                return self._on_pull(sender, message, now_s)
            case Records():
                return self._on_records(sender, message, now_s)
        return []

    def pull_if_behind(self, revision: int) -> Pull | None:
        """Return what to ask the sender of a data message with ``revision`` for."""
        return self._fleet_store.pull_if_behind(revision)

    def _on_digest(
        self, sender: str, digest: Digest, now_s: float
    ) -> list[OutgoingMessage]:
        self._record_peer_revision(sender, digest.revision)
        if digest.revision <= self._fleet_store.revision:
            self.pause_detector.confirm_up_to_date(now_s)
        outgoing = self._pull(sender, digest.revision, now_s)
        behind = digest.revision < self._fleet_store.revision
        if behind or digest.reply_wanted:
            # Whoever probes needs a sign of life, whatever its revision is.
            outgoing.append(OutgoingMessage(sender, self.digest(reply_wanted=False)))
        return outgoing

    def _announce_revision(
        self, now_s: float, peers: Sequence[Instance]
    ) -> list[OutgoingMessage]:
        """Tell some peers of a new revision at once, and some more a little later.

        Digests get lost. With one wave alone, a process in a fleet that loses a
        third of them was 3.2 s behind once in a thousand releases or so.
        """
        if self._fleet_store.revision > self._announced_revision:
            self._announced_revision = self._fleet_store.revision
            self._second_wave_s = now_s + self._settings.eager_again_s
            return self._digests_for(peers, self._settings.eager_peers)
        if self._second_wave_s is not None and now_s >= self._second_wave_s:
            self._second_wave_s = None
            return self._digests_for(peers, self._settings.eager_peers)
        return []

    def _on_pull(self, sender: str, pull: Pull, now_s: float) -> list[OutgoingMessage]:
        """Answer with records, but not everybody at once.

        The first to read a release would otherwise send it to whoever meets it,
        several times its share of the cost. Who gets no answer asks another peer.
        """
        if self._answer_budget.refill(now_s) <= 0.0:
            return []
        records = self._fleet_store.records_for(pull)
        size = len(records.snapshot) + sum(len(r.payload) for r in records.records)
        # A large release counts as a usual one. By its full size the first readers
        # would be silent for minutes, and it would reach the others one by one.
        self._answer_budget.spend(now_s, min(size, MAX_CHARGED_BYTES))
        return [OutgoingMessage(sender, records)]

    def _on_records(
        self, sender: str, message: Records, now_s: float
    ) -> list[OutgoingMessage]:
        self._record_peer_revision(sender, message.revision)
        self._fleet_store.apply_records(message)
        self._last_pull_s = NEVER_S
        return self._pull(sender, message.revision, now_s)

    def _pull(self, sender: str, revision: int, now_s: float) -> list[OutgoingMessage]:
        """Ask one peer at a time, so that a new record is not fetched many times."""
        pull = self._fleet_store.pull_if_behind(revision)
        if pull is None or now_s - self._last_pull_s < self._settings.pull_timeout_s:
            return []
        self._last_pull_s = now_s
        return [OutgoingMessage(sender, pull)]

    def _record_peer_revision(self, sender: str, revision: int) -> None:
        """Remember what peers hold until this process knows enough itself."""
        if not self.ready and revision != NO_REVISION:
            previous = self._peer_revisions.get(sender, NO_REVISION)
            self._peer_revisions[sender] = max(previous, revision)

    def _digests_for(
        self, peers: Sequence[Instance], count: int
    ) -> list[OutgoingMessage]:
        digest = self.digest(reply_wanted=not self.ready)
        return [
            OutgoingMessage(peer, digest) for peer in self._choose_peers(peers, count)
        ]

    def digest(self, reply_wanted: bool) -> Digest:
        """Write what this process has to say of itself."""
        return Digest(
            instance=self._me.name,
            incarnation=self._me.incarnation,
            revision=self._fleet_store.revision,
            status=self._status(),
            reply_wanted=reply_wanted,
            peers=self._evidence(),
        )

    def _choose_peers(self, peers: Sequence[Instance], count: int) -> list[str]:
        """Choose distinct peers at random, some of them far on purpose.

        In a fleet whose zones differ in size, a small or cut-off zone would
        otherwise hear of a release late. Nothing here scans the fleet.
        """
        chosen: dict[str, None] = {}
        for _ in range(CHOICE_ATTEMPTS * count):
            if len(chosen) >= count or not peers:
                break
            peer = self._random.choice(peers)
            if self._random.random() < self._settings.far_share:
                peer = self._choose_remote(peers, peer)
            if peer.name != self._me.name:
                chosen[peer.name] = None
        return list(chosen)

    def _choose_remote(self, peers: Sequence[Instance], fallback: Instance) -> Instance:
        """Look a few times for a peer in another zone."""
        for _ in range(CHOICE_ATTEMPTS):
            peer = self._random.choice(peers)
            if peer.availability_zone != self._me.availability_zone:
                return peer
        return fallback
