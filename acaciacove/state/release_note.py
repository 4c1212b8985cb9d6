"""A release note: the one way in which operators change what is served."""

from attrs import frozen

from acaciacove.fleet.api import Api
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId


@frozen
class ReleaseNote:
    """What is added, changed and withdrawn, on top of revision ``based_on``.

    ``note_id`` is unique to the note, so that an operator whose reply was lost can
    find it again. Entries replace those of the same name; all of a note takes
    effect or none of it.
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
