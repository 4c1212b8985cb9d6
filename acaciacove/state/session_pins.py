"""Which version a session keeps, known to any entry without a store."""

import binascii
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import sha256

from acaciacove.fleet.api import Api
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version_id import VersionId, parse_version_id

MAC_BYTES = 16
SEPARATOR = "."
NEW_SESSION = "new"
MAX_TOKEN_LENGTH = 512


class SessionPins:
    """Signs and reads session tokens.

    A token names a version and is bound to organisation, API and session, so that
    it is worth nothing elsewhere. The first secret signs; tokens of the others are
    still read, so that operators can change the secret. Without a secret no token
    is issued or believed.
    """

    def __init__(self, secrets: tuple[str, ...]) -> None:
        """Keep the secrets that all entries share."""
        self._secrets = tuple(s.encode() for s in secrets if s)

    def issue(
        self, organisation: str, api: str, session: str, version: VersionId
    ) -> str:
        """Return a token for the caller to send with its next request."""
        if not self._secrets:
            return ""
        name = str(version)
        mac = _mac(self._secrets[0], organisation, api, session, name)
        return _encode(name.encode()) + SEPARATOR + _encode(mac)

    def read(
        self, token: str, organisation: str, api: str, session: str
    ) -> VersionId | None:
        """Return the version that a token names; None if it was not signed here."""
        parts = token.split(SEPARATOR)
        if len(parts) != 2 or len(token) > MAX_TOKEN_LENGTH:
            return None
        name_bytes, mac = _decode(parts[0]), _decode(parts[1])
        if not name_bytes or not mac:
            return None
        name = name_bytes.decode(errors="replace")
        for secret in self._secrets:
            expected = _mac(secret, organisation, api, session, name)
            if hmac.compare_digest(mac, expected):
                return parse_version_id(name)
        return None

    def pinned_version(
        self,
        fleet: FleetState,
        organisation: Organisation,
        api: Api,
        session: str,
        token: str,
    ) -> VersionId | None:
        """Return the version that a session has to get; None if it may be chosen.

        A caller that can carry tokens sends ``NEW_SESSION`` as its first one. The
        version of a token is kept until it is withdrawn, quarantined or forbidden.
        A session without a token keeps ``base_version``.
        """
        if not session:
            return None
        pinned = self.read(token, organisation.name, api.name, session)
        if pinned is not None and _may_use(fleet, organisation, api, pinned):
            return pinned
        if pinned is not None or token == NEW_SESSION:
            return None
        return base_version(fleet, organisation, api)


def base_version(
    fleet: FleetState, organisation: Organisation, api: Api
) -> VersionId | None:
    """Return the version of an API's sessions that carry no token.

    It is the one declared first of those that may be used. Each entry derives the
    same one; a new version and a growing share of a roll-out never change it, and
    a version that comes back after a withdrawal counts as the last. Drawing by the
    session's hash would move sessions whenever a share grows past their draw.
    """
    for version in fleet.versions:
        if _may_use(fleet, organisation, api, version):
            return version
    return None


def _may_use(
    fleet: FleetState, organisation: Organisation, api: Api, version: VersionId
) -> bool:
    known = fleet.versions.get(version)
    if known is None or known.api != api.name:
        return False
    return fleet.is_usable(version) and organisation.allows(version)


def _mac(secret: bytes, *parts: str) -> bytes:
    mac = hmac.new(secret, digestmod=sha256)
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        mac.update(len(data).to_bytes(8))
        mac.update(data)
    return mac.digest()[:MAC_BYTES]


def _encode(data: bytes) -> str:
    return urlsafe_b64encode(data).decode().rstrip("=")


def _decode(text: str) -> bytes | None:
    try:
        return urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        return None
