"""Report of ``acaciacove release publish``."""

from attrs import frozen

from acaciacove.state.verdict import Verdict


@frozen
class PublishReport:
    """The outcome of publishing a note.

    ``offset`` is the note's offset in the log, None while it is unknown.
    ``verdict`` is the reducer's. ``in_force`` is the release revision in force.
    ``beaten_by`` is the id of the note that was accepted first in a lost race.
    ``repeated`` is true if an earlier run had appended the note.
    """

    note_id: str
    offset: int | None
    verdict: Verdict | None
    detail: str
    in_force: int
    beaten_by: str = ""
    repeated: bool = False
