"""Configuration in force: the fold of the release stream up to one revision."""

from attrs import field, frozen

from acaciacove.fleet.api import Api
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.quarantine import Quarantine
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

NO_REVISION = -1


def session_base_key(organisation: str, api: str) -> str:
    """Return the key of ``FleetState.session_bases``."""
    return f"{api}/{organisation}"


@frozen
class FleetState:
    """The configuration in force at ``revision``.

    ``revision`` is the log offset of the last folded record, whether it was accepted
    or not. ``release_revision`` is the offset of the release note in force, on which
    the next note must be based, and ``release_note_id`` is that note's id.
    ``decision_ids`` are the ids of recent decisions, so that a duplicate of one has
    no effect. ``declared_at`` maps a version to the release that declared it last.
    ``session_bases`` maps an organisation and an API (``session_base_key``) to the
    version of its sessions that carry no token. Values are never mutated.
    """

    revision: int = NO_REVISION
    release_revision: int = NO_REVISION
    apis: dict[str, Api] = field(factory=dict)
    versions: dict[VersionId, Version] = field(factory=dict)
    organisations: dict[str, Organisation] = field(factory=dict)
    availability_zones_out: frozenset[str] = frozenset()
    instances_out: frozenset[str] = frozenset()
    quarantines: dict[VersionId, Quarantine] = field(factory=dict)
    exposures: dict[VersionId, float] = field(factory=dict)
    release_note_id: str = ""
    decision_ids: tuple[str, ...] = ()
    declared_at: dict[VersionId, int] = field(factory=dict)
    session_bases: dict[str, VersionId] = field(factory=dict)

    def versions_of(self, api: str) -> tuple[Version, ...]:
        """Return the versions of an API, including withdrawn ones."""
        return tuple(v for v in self.versions.values() if v.api == api)

    def is_usable(self, version: VersionId) -> bool:
        """Return whether a version may get any requests."""
        declared = self.versions.get(version)
        return (
            declared is not None
            and not declared.withdrawn
            and version not in self.quarantines
        )
