"""What ``release publish`` reports."""

from attrs import frozen

from acaciacove.state.verdict import Verdict


@frozen
class PublishReport:
    """The fate of a note.

    ``offset`` is where it stands in the log, None while that is unknown.
    ``verdict`` is the reducer's. ``in_force`` is the release revision in force,
    ``beaten_by`` the id of the note that won a lost race. ``repeated`` tells that
    an earlier run had put the note there.
    """

    note_id: str
    offset: int | None
    verdict: Verdict | None
    detail: str
    in_force: int
    beaten_by: str = ""
    repeated: bool = False
