"""Record that gives one process the exclusive right to make a call."""

from attrs import frozen


@frozen
class Claim:
    """Claim of a key; only the owner of the first one in log order may make the call.

    ``claim_id`` is unique. ``at_s`` is the owner's Unix time. It determines only when
    a key expires, and never which of two claims wins.
    """

    key: str
    claim_id: str
    owner: str
    incarnation: int
    fingerprint: str
    at_s: float
    organisation: str = ""
