"""A complete deployment: its endpoints, zones and organisations."""

from attrs import frozen

from acaciacove.standins.endpoint_spec import EndpointSpec
from acaciacove.state.release_note import ReleaseNote


@frozen
class Deployment:
    """An example deployment at its present size.

    ``note`` is its first release note and ``tokens`` the bearer token of each
    organisation in it. ``qualities`` maps a version to the true mean rating of its
    answers, known only to the stand-in of the rating service.
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
