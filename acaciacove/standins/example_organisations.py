"""Organisations of the example deployments, with predictable tokens."""

from hashlib import sha256

from acaciacove.fleet.organisation import ANY_VERSION, Organisation

TOKEN_SUFFIX = "-example-token"


def example_token(name: str) -> str:
    """Return the bearer token of an example organisation."""
    return name + TOKEN_SUFFIX


def example_organisation(
    name: str, models: tuple[str, ...], weight: float = 1.0
) -> Organisation:
    """Return an organisation that may use every version of ``models``."""
    return Organisation(
        name=name,
        token_sha256=(sha256(example_token(name).encode()).hexdigest(),),
        allowed=dict.fromkeys(models, (ANY_VERSION,)),
        weight=weight,
    )
