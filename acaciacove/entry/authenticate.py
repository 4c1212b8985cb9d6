"""Authenticates a bearer token and returns its organisation."""

from hashlib import sha256

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

BEARER_PREFIX = "bearer "

MISSING_TOKEN = Refusal(
    Reason.BAD_TOKEN, True, "send your organisation's token as Authorization: Bearer"
)
UNKNOWN_TOKEN = Refusal(Reason.BAD_TOKEN, True, "no organisation has this token")


def authenticate(fleet: FleetState, authorization: str) -> Organisation | Refusal:
    """Return the organisation whose token digests include the given token.

    Tokens are compared by digest, so the response time reveals nothing about them.
    """
    if not authorization.lower().startswith(BEARER_PREFIX):
        return MISSING_TOKEN
    token = authorization[len(BEARER_PREFIX) :].strip()
    digest = sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    for organisation in fleet.organisations.values():
        if digest in organisation.token_sha256:
            return organisation
    return UNKNOWN_TOKEN
