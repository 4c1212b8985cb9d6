"""Which endpoints an entry may ask while some have not said that they are ready."""

from collections.abc import Sequence

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role


def routable_instances(
    live: Sequence[Instance], starting: Sequence[Instance]
) -> list[Instance]:
    """Add starting endpoints of versions that no live endpoint serves.

    An endpoint's word that it is starting may be a moment old, and it is ready by
    now. After a start of the whole fleet that is so of every endpoint of an API at
    once: its callers would be refused with "no endpoint" for up to a second, until
    the next probe. Asked, an endpoint that is not ready says truly "not run".
    """
    served = {version for endpoint in live for version in endpoint.versions}
    return list(live) + [
        instance
        for instance in starting
        if instance.role is Role.ENDPOINT and not served.issuperset(instance.versions)
    ]
