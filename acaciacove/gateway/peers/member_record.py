"""Log record through which gateways discover each other."""

import orjson
from attrs import frozen

from acaciacove.checked_fields import (
    MAX_PORT,
    check_name,
    read_ip,
    read_whole_number,
)
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
        # Gateways of an earlier release write no zone. If their records were rejected,
        # they would not be counted when the shared limits are split while a fleet is
        # upgraded.
        zone = document.get("availability_zone", "")
        return MemberRecord(
            instance=check_name(key, "key"),
            host=read_ip(document, "host"),
            port=read_whole_number(document, "port", 1, MAX_PORT),
            availability_zone=check_name(zone, "availability_zone") if zone else "",
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedMessageError(
            f"malformed member record {key!r}: {error!r}"
        ) from error
