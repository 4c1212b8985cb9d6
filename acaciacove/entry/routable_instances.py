"""Chooses the instances that may get requests."""

from collections.abc import Sequence

from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role


def routable_instances(
    live: Sequence[Instance], starting: Sequence[Instance]
) -> list[Instance]:
    """Return live instances and starting endpoints whose versions no live one serves.

    An endpoint's last report may still say "starting" although it has become ready
    since. After a start of the whole fleet this applies to all endpoints of an API at
    once. Its callers would be refused with "no endpoint" for up to a second, until
    the next probe. An endpoint that is really not ready replies with "not run".
    """
    served = {version for endpoint in live for version in endpoint.versions}
    return list(live) + [
        instance
        for instance in starting
        if instance.role is Role.ENDPOINT and not served.issuperset(instance.versions)
    ]
