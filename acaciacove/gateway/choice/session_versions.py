"""Which version each session is on."""

from collections import OrderedDict

# Sessions that one gateway remembers; the oldest is forgotten first. One costs
# about 250 bytes, so the table stays under 3 MB.
MAX_SESSIONS = 10_000


# A session's requests reach other gateways too, so one that has been idle here may
# be alive: it is remembered for this many lives.
RETAINED_LIFETIMES = 4.0


class SessionVersions:
    """Remembers the version of each session that may still be alive.

    ``lifetime_s`` is how long a session is idle before it has ended.
    """

    def __init__(self, lifetime_s: float) -> None:
        """Begin without sessions."""
        self.lifetime_s = lifetime_s
        self._sessions: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def get(self, service: str, session: str, now_s: float) -> str | None:
        """Return the version that the session is on."""
        known = self._sessions.get((service, session))
        if known is None or now_s - known[1] > RETAINED_LIFETIMES * self.lifetime_s:
            return None
        return known[0]

    def put(self, service: str, session: str, version: str, now_s: float) -> None:
        """Note that the session has just used a version."""
        key = (service, session)
        self._sessions.pop(key, None)
        self._sessions[key] = (version, now_s)
        while len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
