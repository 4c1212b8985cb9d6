"""Membership of the fleet: the platform's instance list, corrected by evidence.

The list is up to a minute old and may be wrong. A report of an instance about itself
takes precedence over it, and so does a failed connection. An announcement of leaving
is final for an incarnation. The status "gone" is not, since a paused process can
resume.
"""

from collections.abc import Callable, Iterable

from attrs import evolve

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.messages.digest import Digest
from acaciacove.reason import Reason
from acaciacove.state.member import LIFECYCLE, Member
from acaciacove.state.membership_settings import MembershipSettings

SEPARATOR = "/"


class Membership:
    """The membership as one process sees it; ``now_s`` is the event loop's time.

    The caller calls ``check_timeouts`` a few times a second, sends a digest that
    requests a reply to each instance of ``due_probes``, and reports each list, message
    and failure that it observes.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Start empty; ``on_change`` is called when the usable instances change."""
        self._settings = settings
        self._on_change = on_change
        self._members: dict[str, Member] = {}
        self._recent_evidence: list[Member] = []

    def usable(self) -> list[Instance]:
        """List the instances that may receive new requests."""
        return [m.instance for m in self._members.values() if _is_usable(m)]

    def starting(self) -> list[Instance]:
        """List the instances that have last reported that they are not ready yet."""
        return [
            m.instance
            for m in self._members.values()
            if m.state == InstanceStatus.STARTING.value
        ]

    def peers(self) -> list[Instance]:
        """List the instances that digests may be sent to."""
        return [
            m.instance for m in self._members.values() if m.state != InstanceStatus.GONE
        ]

    def find(self, name: str) -> Instance | None:
        """Return an instance by name, whatever its status."""
        member = self._members.get(name)
        return member.instance if member else None

    def status_of(self, name: str) -> InstanceStatus:
        """Return the status of an instance; an unknown one is gone."""
        member = self._members.get(name)
        return InstanceStatus.GONE if member is None else member.status

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Return whether an incarnation is unknown, superseded, silent or lost."""
        member = self._members.get(name)
        if member is None or member.incarnation > incarnation:
            return True
        return member.state == InstanceStatus.GONE

    def set_watched(self, names: Iterable[str]) -> None:
        """Set which instances this process uses, so that their silence is detected."""
        watched = set(names)
        for name, member in self._members.items():
            member.watched = name in watched

    def on_list(self, listed: list[Instance], now_s: float) -> None:
        """Apply the platform's instance list."""
        names = {instance.name for instance in listed}
        for instance in listed:
            self._apply_listed(instance, now_s)
        for name, member in list(self._members.items()):
            if name not in names and member.missing_since_s is None:
                member.missing_since_s = now_s
        self.check_timeouts(now_s)

    def on_digest(self, digest: Digest, now_s: float) -> None:
        """Apply an instance's report about itself and about its peers."""
        status = _parse_status(digest.status)
        self.record_message(digest.instance, digest.incarnation, now_s, status)
        for text in digest.peers:
            self._apply_peer_report(text, now_s)

    def record_message(
        self,
        name: str,
        incarnation: int,
        now_s: float,
        status: InstanceStatus = InstanceStatus.LIVE,
    ) -> None:
        """Record a message of an instance; any message proves that it is running."""
        member = self._members.get(name)
        if member is None or not self._accept_incarnation(member, incarnation, now_s):
            return
        member.heard_s = now_s
        if status in (InstanceStatus.LEAVING, InstanceStatus.GONE):
            self._mark_leaving(member, now_s)
        elif member.announced_leaving:
            self._transition(member, InstanceStatus.LEAVING)
        elif status is InstanceStatus.LIVE:
            self._transition(member, InstanceStatus.LIVE)

    def record_connect_failure(self, name: str, now_s: float) -> None:
        """Record that an instance refused or lost a connection."""
        member = self._members.get(name)
        if member is None:
            return
        member.probed_s = now_s
        self._mark_gone(member, now_s)

    def record_refusal(
        self, name: str, incarnation: int, reason: Reason, now_s: float
    ) -> None:
        """Record a refusal; the reasons LEAVING and DRAINING also announce leaving."""
        status = InstanceStatus.LIVE
        if reason in (Reason.LEAVING, Reason.DRAINING):
            status = InstanceStatus.LEAVING
        self.record_message(name, incarnation, now_s, status)

    def check_timeouts(self, now_s: float) -> None:
        """Mark silent instances as gone; remove those long missing from the list."""
        for name, member in list(self._members.items()):
            if self._is_silent(member, now_s):
                self._mark_gone(member, now_s)
            if self._is_expired(member, now_s):
                LIFECYCLE.remove_model(member)
                del self._members[name]

    def due_probes(self, now_s: float) -> list[Instance]:
        """List the instances to probe now; each call counts as a probe of them."""
        due = [m for m in self._members.values() if self._wants_probe(m, now_s)]
        for member in due:
            member.probed_s = now_s
        return [member.instance for member in due]

    def evidence(self, now_s: float) -> tuple[str, ...]:
        """Return recent evidence of lost instances, for ``Digest.peers``."""
        oldest_s = now_s - self._settings.evidence_s
        lost = (InstanceStatus.LEAVING, InstanceStatus.GONE)
        self._recent_evidence = [
            m for m in self._recent_evidence if m.learned_s > oldest_s
        ]
        recent = [m for m in reversed(self._recent_evidence) if m.state in lost]
        return tuple(
            _format_evidence(m) for m in recent[: self._settings.evidence_count]
        )

    def _apply_listed(self, listed: Instance, now_s: float) -> None:
        member = self._members.get(listed.name)
        if member is None:
            member = Member(listed, listed.incarnation, now_s)
            self._members[listed.name] = member
        if listed.incarnation < member.incarnation:
            return
        self._accept_incarnation(member, listed.incarnation, now_s)
        member.missing_since_s = None
        if listed != member.instance:
            member.instance = evolve(listed, status=member.status)
        if listed.status in (InstanceStatus.LEAVING, InstanceStatus.GONE):
            # The list is sometimes wrong. A recent report of the instance itself
            # takes precedence, since a false list could otherwise exclude all
            # instances. An instance that does leave announces it to its peers.
            if not self._was_seen_recently(member, now_s):
                self._transition(member, listed.status)
            return
        if member.state == InstanceStatus.STARTING:
            self._transition(member, listed.status)
        elif member.state == InstanceStatus.LEAVING and not member.announced_leaving:
            self._transition(member, InstanceStatus.GONE)

    def _accept_incarnation(
        self, member: Member, incarnation: int, now_s: float
    ) -> bool:
        """Return whether evidence is about the latest incarnation; record a new one."""
        if incarnation < member.incarnation:
            return False
        if incarnation > member.incarnation:
            was_usable = _is_usable(member)
            member.incarnation = incarnation
            member.announced_leaving = False
            member.known_since_s = now_s
            member.restart()
            self._notify_if(was_usable)
        return True

    def _apply_peer_report(self, text: str, now_s: float) -> None:
        """Apply a peer's report about another instance.

        Only a report of leaving is accepted as it is. A peer that cannot reach an
        instance may itself be partitioned, so that its report of a lost instance only
        causes a probe.
        """
        name, incarnation, status = _parse_evidence(text)
        member = self._members.get(name)
        if member is None or not self._accept_incarnation(member, incarnation, now_s):
            return
        if status is InstanceStatus.LEAVING:
            self._mark_leaving(member, now_s)
        elif status is InstanceStatus.GONE and not self._was_seen_recently(
            member, now_s
        ):
            member.probed_s = min(member.probed_s, now_s - self._settings.retry_s)
            member.watched = True

    def _mark_leaving(self, member: Member, now_s: float) -> None:
        if not member.announced_leaving:
            member.announced_leaving = True
            self._record_evidence(member, now_s)
        self._transition(member, InstanceStatus.LEAVING)

    def _mark_gone(self, member: Member, now_s: float) -> None:
        if member.state != InstanceStatus.GONE:
            self._record_evidence(member, now_s)
        self._transition(member, InstanceStatus.GONE)

    def _record_evidence(self, member: Member, now_s: float) -> None:
        """Queue the evidence about an instance for the next digests."""
        member.learned_s = now_s
        if member in self._recent_evidence:
            self._recent_evidence.remove(member)
        self._recent_evidence.append(member)

    def _was_seen_recently(self, member: Member, now_s: float) -> bool:
        return now_s - member.heard_s < self._settings.fresh_s

    def _is_silent(self, member: Member, now_s: float) -> bool:
        """Return whether an instance had enough time for a reply and sent none."""
        if member.state == InstanceStatus.GONE:
            return False
        if not member.watched and member.missing_since_s is None:
            return False
        since_s = max(member.heard_s, member.known_since_s)
        if member.missing_since_s is not None and not member.watched:
            since_s = max(since_s, member.missing_since_s)
        return now_s - since_s >= self._settings.silent_s

    def _is_expired(self, member: Member, now_s: float) -> bool:
        if member.missing_since_s is None:
            return False
        since_s = max(member.missing_since_s, member.heard_s)
        return now_s - since_s >= self._settings.forget_s

    def _wants_probe(self, member: Member, now_s: float) -> bool:
        if now_s - member.probed_s < self._settings.retry_s / 2:
            return False
        if member.state in (InstanceStatus.GONE, InstanceStatus.STARTING):
            # An instance does not announce that it is ready. Without a probe it
            # would receive requests only after the next list, which takes minutes
            # in a large fleet.
            return now_s - member.probed_s >= self._settings.retry_s
        if not member.watched and member.missing_since_s is None:
            return False
        return now_s - member.heard_s >= self._settings.probe_after_s

    def _transition(self, member: Member, status: InstanceStatus) -> None:
        """Change the status if the lifecycle allows this transition."""
        if member.state == status.value:
            return
        was_usable = _is_usable(member)
        match status:
            case InstanceStatus.LIVE:
                member.serve()
            case InstanceStatus.LEAVING:
                member.leave()
            case InstanceStatus.GONE:
                member.lose()
        member.instance = evolve(member.instance, status=member.status)
        self._notify_if(was_usable is not _is_usable(member))

    def _notify_if(self, changed: bool) -> None:
        if changed:
            self._on_change()


def _is_usable(member: Member) -> bool:
    return member.state == InstanceStatus.LIVE.value


def _parse_status(text: str) -> InstanceStatus:
    """Parse a status; one of a newer release counts as starting, thus not usable."""
    try:
        return InstanceStatus(text)
    except ValueError:
        return InstanceStatus.STARTING


def _format_evidence(member: Member) -> str:
    parts = (member.instance.name, str(member.incarnation), member.state)
    return SEPARATOR.join(parts)


def _parse_evidence(text: str) -> tuple[str, int, InstanceStatus]:
    """Parse ``name/incarnation/status``; malformed text yields an empty name."""
    parts = text.rsplit(SEPARATOR, 2)
    if len(parts) != 3 or not parts[1].isdecimal():
        return "", 0, InstanceStatus.STARTING
    return parts[0], int(parts[1]), _parse_status(parts[2])
