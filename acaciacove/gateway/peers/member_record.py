"""Log record through which gateways discover each other."""

import orjson
from attrs import frozen

from acaciacove.errors import MalformedMessageError


@frozen
class MemberRecord:
    """Address at which a gateway listens for its peers."""

    instance: str
    host: str
    port: int
    availability_zone: str


def write_member(member: MemberRecord) -> bytes:
    """Encode a member record."""
    return orjson.dumps(
        {
            "host": member.host,
            "port": member.port,
            "availability_zone": member.availability_zone,
        }
    )


def read_member(key: str, value: bytes) -> MemberRecord:
    """Decode a member record; raises MalformedMessageError."""
    try:
        document = orjson.loads(value)
        return MemberRecord(
            instance=key,
            host=str(document["host"]),
            port=int(document["port"]),
            # Gateways of an earlier release write no zone. If their records were
            # rejected, they would not be counted when the shared limits are split
            # while a fleet is upgraded.
            availability_zone=str(document.get("availability_zone", "")),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedMessageError(
            f"malformed member record {key!r}: {error!r}"
        ) from error
