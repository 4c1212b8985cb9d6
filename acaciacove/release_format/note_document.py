"""A release note as it is written, before it has a base."""

from attrs import field, frozen

from acaciacove.fleet.version_id import VersionId
from acaciacove.release_format.declarations import Declarations
from acaciacove.state.release_note import ReleaseNote


@frozen
class NoteDocument:
    """A release note that tells added from changed.

    ``based_on`` is None when the operator leaves it to the moment of publishing.
    ``lines`` maps a path of keys to the line where it stands; it tells where a
    fault is and is no part of the note.
    """

    note_id: str
    based_on: int | None = None
    operator: str = ""
    summary: str = ""
    added: Declarations = Declarations()
    changed: Declarations = Declarations()
    withdrawn_versions: tuple[VersionId, ...] = ()
    withdrawn_organisations: tuple[str, ...] = ()
    lines: dict[str, int] = field(factory=dict, eq=False, repr=False)

    def release_note(self, based_on: int, operator: str = "") -> ReleaseNote:
        """Make the record; what the document itself says goes first."""
        return ReleaseNote(
            note_id=self.note_id,
            based_on=based_on if self.based_on is None else self.based_on,
            operator=self.operator or operator,
            summary=self.summary,
            apis=self.added.apis + self.changed.apis,
            versions=self.added.versions + self.changed.versions,
            withdrawn=self.withdrawn_versions,
            organisations=self.added.organisations + self.changed.organisations,
            organisations_removed=self.withdrawn_organisations,
        )
