"""The keys under which a crash of an endpoint is counted for one request."""

from hashlib import blake2b

from acaciacove.decisions.crash_key import shared_crash_key
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.quarantine.request_fingerprint import FINGERPRINT_BYTES

# Keep the hashes of a part and of a session with the same name apart.
PART_DOMAIN = b"part"
SESSION_DOMAIN = b"session"


def shared_keys(request: CallerRequest) -> tuple[int, ...]:
    """Return the keys of what a request shares with others.

    These are the parts of its prompt but the last, and its session. Organisation and
    route have none: requests without any fault would be held back with them.
    """
    prompt, session = request.hints.prompt, request.hints.session
    keys = [_key(PART_DOMAIN, part) for part in prompt.shared_parts] if prompt else []
    if session is not None:
        keys.append(_key(SESSION_DOMAIN, session))
    return tuple(dict.fromkeys(keys))


def _key(domain: bytes, name: str) -> int:
    digest = blake2b(name.encode(), digest_size=FINGERPRINT_BYTES, person=domain)
    return shared_crash_key(int.from_bytes(digest.digest()))
