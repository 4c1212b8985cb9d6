"""JSON form of instances in the platform's instance list."""

from typing import Any

import attrs

from acaciacove.errors import MalformedMessageError
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import VersionId, parse_version_id


def instance_to_document(instance: Instance) -> dict[str, Any]:
    """Convert an instance to a JSON object."""
    document = attrs.asdict(instance, recurse=False)
    document["versions"] = [str(version) for version in instance.versions]
    return document


def instance_from_document(document: dict[str, Any]) -> Instance:
    """Parse an instance; raises MalformedMessageError."""
    try:
        return Instance(
            name=str(document["name"]),
            role=Role(document["role"]),
            region=str(document["region"]),
            availability_zone=str(document["availability_zone"]),
            host=str(document["host"]),
            port=int(document["port"]),
            incarnation=int(document.get("incarnation", 0)),
            status=InstanceStatus(document.get("status", InstanceStatus.LIVE)),
            versions=tuple(map(_parse_version, document.get("versions", ()))),
            http_port=int(document.get("http_port", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessageError(
            f"malformed instance in the instance list: {error!r}"
        ) from error


def _parse_version(text: str) -> VersionId:
    version = parse_version_id(text)
    if version is None:
        raise ValueError(f"expected model@version, got {text!r}")
    return version
