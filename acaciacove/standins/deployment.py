"""A whole deployment: what stands where, and who may reach it."""

from attrs import frozen

from acaciacove.standins.endpoint_spec import EndpointSpec
from acaciacove.state.release_note import ReleaseNote


@frozen
class Deployment:
    """A deployment at its size of today.

    ``note`` is its first release note and ``tokens`` the bearer token of each
    organisation in it. ``qualities`` maps a version to the true mean rating of its
    answers, which only the rating service's stand-in knows.
    """

    name: str
    title: str
    region: str
    availability_zones: tuple[str, ...]
    endpoints: tuple[EndpointSpec, ...]
    note: ReleaseNote
    tokens: dict[str, str]
    qualities: dict[str, float]
    prompts: tuple[str, ...]
