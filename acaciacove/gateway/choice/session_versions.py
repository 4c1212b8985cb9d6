"""Remembers the service version of each session."""

from collections import OrderedDict

# Sessions that one gateway remembers; the oldest is evicted first. One takes about 250
# bytes, so the table stays below 3 MB.
MAX_SESSIONS = 10_000


# A session's requests reach other gateways too, so one that has been idle here may
# still be active. Its entry is retained for this many lifetimes.
RETAINED_LIFETIMES = 4.0


class SessionVersions:
    """Versions of sessions that may still be active.

    ``lifetime_s`` is the idle time after which a session has ended.
    """

    def __init__(self, lifetime_s: float) -> None:
        """Start without sessions."""
        self.lifetime_s = lifetime_s
        self._sessions: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def get(self, service: str, session: str, now_s: float) -> str | None:
        """Return the version that the session uses, None if unknown or expired."""
        entry = self._sessions.get((service, session))
        if entry is None or now_s - entry[1] > RETAINED_LIFETIMES * self.lifetime_s:
            return None
        return entry[0]

    def put(self, service: str, session: str, version: str, now_s: float) -> None:
        """Record that the session has just used a version."""
        key = (service, session)
        self._sessions.pop(key, None)
        self._sessions[key] = (version, now_s)
        while len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
