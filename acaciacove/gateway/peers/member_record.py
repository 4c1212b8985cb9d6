"""The record by which gateways find each other."""

import orjson
from attrs import frozen

from acaciacove.errors import MalformedMessageError


@frozen
class MemberRecord:
    """Where a gateway listens for its peers."""

    instance: str
    host: str
    port: int
    availability_zone: str


def write_member(member: MemberRecord) -> bytes:
    """Return the bytes of a record."""
    return orjson.dumps(
        {
            "host": member.host,
            "port": member.port,
            "availability_zone": member.availability_zone,
        }
    )


def read_member(key: str, value: bytes) -> MemberRecord:
    """Read a record; raises MalformedMessageError."""
    try:
        document = orjson.loads(value)
        return MemberRecord(
            instance=key,
            host=str(document["host"]),
            port=int(document["port"]),
            # Gateways of an earlier release write none. Passed over, they would be
            # missing from the slices of the shared bounds while a fleet is upgraded.
            availability_zone=str(document.get("availability_zone", "")),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedMessageError(f"{key}: {error!r}") from error
