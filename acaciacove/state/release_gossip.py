"""Gossip of the release stream between processes, which also works without the log.

This is a pure state machine: time, peers and randomness are parameters, and messages
to send are return values. Its cost per process does not depend on the fleet's size.
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
    """The gossip of one process.

    ``status`` returns the lifecycle status of this process, and ``evidence`` its recent
    evidence about peers, in the form of ``Digest.peers``. ``pause_detector`` determines
    whether the process may decide, or was paused and has not been confirmed to be up
    to date since.
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
        """Start without any messages sent or received."""
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
        """Return whether the state of this process is complete enough to decide.

        It is complete once the process has read the log to its end. It is also complete
        once at least ``start_peers`` peers have reported their revisions and the
        process has reached the highest of them. With an incomplete state, it would
        refuse allowed organisations and serve withdrawn versions.
        """
        if self._fleet_store.revision == NO_REVISION:
            return False
        if self._log_caught_up and not self._fleet_store.has_gap:
            return True
        reported = self._peer_revisions.values()
        enough = len(reported) >= self._settings.start_peers
        return enough and self._fleet_store.revision >= max(reported)

    def mark_log_caught_up(self) -> None:
        """Record that the release stream has been read to its end."""
        self._log_caught_up = True

    def tick(self, now_s: float, peers: Sequence[Instance]) -> list[OutgoingMessage]:
        """Return the messages to send now; call it about every 0.1 s and on changes.

        ``peers`` are the instances of the fleet that are not known to be gone; the
        local instance is skipped.
        """
        self.pause_detector.tick(now_s)
        outgoing: list[OutgoingMessage] = []
        outgoing += self._announce_revision(now_s, peers)
        if now_s >= self._next_digest_s:
            # Without jitter, a thousand processes that were started together
            # would always send at the same instant.
            interval_s = self._settings.interval_s * self._random.uniform(0.8, 1.2)
            self._next_digest_s = now_s + interval_s
            outgoing += self._digests_for(peers, 1)
        return outgoing

    def announce_status(
        self, peers: Sequence[Instance], count: int
    ) -> list[OutgoingMessage]:
        """Return digests for ``count`` peers now, for instance to announce leaving."""
        return self._digests_for(peers, count)

    def on_message(
        self, sender: str, message: Message, now_s: float
    ) -> list[OutgoingMessage]:
        """Apply a Digest, Pull or Records message and return the replies."""
        match message:
            case Digest():
                return self._on_digest(sender, message, now_s)
            case Pull():
                return self._on_pull(sender, message, now_s)
            case Records():
                return self._on_records(sender, message, now_s)
        return []

    def pull_if_behind(self, revision: int) -> Pull | None:
        """Return the request for missing records if a peer at ``revision`` is ahead."""
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
            # A peer that probes this process needs a reply at any revision.
            outgoing.append(OutgoingMessage(sender, self.digest(reply_wanted=False)))
        return outgoing

    def _announce_revision(
        self, now_s: float, peers: Sequence[Instance]
    ) -> list[OutgoingMessage]:
        """Send digests with a new revision to some peers at once, and again later.

        Digests can be lost. If a fleet loses a third of them, a single wave leaves some
        process 3.2 s behind in about one of a thousand releases.
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
        """Reply with records, within a rate limit.

        Otherwise the first process that reads a release would send it to every peer
        that asks, at several times its share of the cost. A peer without a reply asks
        another one.
        """
        if self._answer_budget.refill(now_s) <= 0.0:
            return []
        records = self._fleet_store.records_for(pull)
        size = len(records.snapshot) + sum(len(r.payload) for r in records.records)
        # A large release counts as one of usual size. If its full size counted, the
        # first readers would send no replies for minutes, and it would reach the other
        # processes one by one.
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
        """Pull from one peer at a time, so that no record is transferred repeatedly."""
        pull = self._fleet_store.pull_if_behind(revision)
        if pull is None or now_s - self._last_pull_s < self._settings.pull_timeout_s:
            return []
        self._last_pull_s = now_s
        return [OutgoingMessage(sender, pull)]

    def _record_peer_revision(self, sender: str, revision: int) -> None:
        """Record the revisions of peers until this process is ready."""
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
        """Return a digest of this process."""
        return Digest(
            instance=self._me.name,
            incarnation=self._me.incarnation,
            revision=self._fleet_store.revision,
            status=self._status(),
            reply_wanted=reply_wanted,
            peers=self._evidence(),
        )

    def _choose_peers(self, peers: Sequence[Instance], count: int) -> list[str]:
        """Choose distinct random peers, a share of them in other zones.

        Otherwise a small or partitioned zone would receive a release late in a fleet
        whose zones differ in size. The cost does not depend on the number of peers.
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
        """Try a few times to choose a peer in another zone."""
        for _ in range(CHOICE_ATTEMPTS):
            peer = self._random.choice(peers)
            if peer.availability_zone != self._me.availability_zone:
                return peer
        return fallback
