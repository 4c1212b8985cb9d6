"""Pins sessions to versions by signed tokens, which any entry can verify."""

import binascii
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import sha256

from acaciacove.fleet.api import Api
from acaciacove.fleet.fleet_state import FleetState, session_base_key
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version_id import VersionId, parse_version_id
from acaciacove.state.session_bases import may_use

MAC_BYTES = 16
SEPARATOR = "."
NEW_SESSION = "new"
MAX_TOKEN_LENGTH = 512


class SessionPins:
    """Issues and verifies session tokens.

    A token contains a version and is bound to an organisation, API and session; it is
    invalid elsewhere. New tokens are signed with the first secret. Tokens signed with
    any of the secrets are valid, so that operators can rotate the secret. Without a
    secret, no token is issued or accepted.
    """

    def __init__(self, secrets: tuple[str, ...]) -> None:
        """Initialise with the secrets that all entries share."""
        self._secrets = tuple(s.encode() for s in secrets if s)

    def issue(
        self, organisation: str, api: str, session: str, version: VersionId
    ) -> str:
        """Return a token that the caller sends with its next request."""
        if not self._secrets:
            return ""
        name = str(version)
        mac = _mac(self._secrets[0], organisation, api, session, name)
        return _encode(name.encode()) + SEPARATOR + _encode(mac)

    def read(
        self, token: str, organisation: str, api: str, session: str
    ) -> VersionId | None:
        """Return the version in a token; None if its signature is invalid."""
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
        """Return the version a session is pinned to; None if any may be chosen.

        A caller that supports tokens sends ``NEW_SESSION`` as its first one. The
        version of a token applies until it is withdrawn, quarantined or no longer
        allowed. A session without a token uses the base version of its organisation,
        which is part of the fleet state and therefore the same at every entry.
        """
        if not session:
            return None
        pinned = self.read(token, organisation.name, api.name, session)
        if pinned is not None and may_use(fleet, organisation, api.name, pinned):
            return pinned
        if pinned is not None or token == NEW_SESSION:
            return None
        key = session_base_key(organisation.name, api.name)
        return fleet.session_bases.get(key)


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
