"""A release note, by which operators change what is served."""

from attrs import frozen

from acaciacove.fleet.api import Api
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId


@frozen
class ReleaseNote:
    """Additions, changes and withdrawals relative to the revision ``based_on``.

    ``note_id`` is unique, so that the note can be found in the log when the reply to
    its publication was lost. Entries replace those of the same name. A note takes
    effect completely or not at all.
    """

    note_id: str
    based_on: int
    operator: str = ""
    summary: str = ""
    apis: tuple[Api, ...] = ()
    versions: tuple[Version, ...] = ()
    withdrawn: tuple[VersionId, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    organisations_removed: tuple[str, ...] = ()
