"""A release note as an operator writes it."""

from attrs import field, frozen

from acaciacove.fleet.version_id import VersionId
from acaciacove.release_format.declarations import Declarations
from acaciacove.state.release_note import ReleaseNote


@frozen
class NoteDocument:
    """A release note with separate sections for added and changed declarations.

    If the operator gives no ``based_on``, it is None and is set at publishing.
    ``lines`` maps a path of keys to its line in the text. It serves to locate
    faults and is not part of the note.
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
        """Convert to a record; values of the document override the arguments."""
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
