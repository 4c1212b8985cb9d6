"""Settings of ``explain``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings


@frozen
class ExplainSettings(CheckedSettings):
    """The request to explain, and files of log lines (``-`` is standard input).

    With ``summary`` or ``losses`` there is no request: the first argument, stored in
    ``request_id``, is a file as well.
    """

    request_id: str = field()
    files: tuple[str, ...] = ()
    summary: bool = False
    losses: bool = False

    def cross_field_faults(self) -> list[str]:
        """Require a file."""
        if not self.covers_all_requests and not self.files:
            return ["FILE is missing: name files of log lines, or -"]
        return []

    @property
    def all_files(self) -> tuple[str, ...]:
        """The files to read."""
        return (
            (self.request_id, *self.files) if self.covers_all_requests else self.files
        )

    @property
    def covers_all_requests(self) -> bool:
        """Return whether to summarise all requests instead of explaining one."""
        return self.summary or self.losses
