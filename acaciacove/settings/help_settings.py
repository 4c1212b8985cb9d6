"""Settings of ``help-settings``."""

from attrs import frozen

from acaciacove.settings.checked_settings import CheckedSettings


@frozen
class HelpSettings(CheckedSettings):
    """The page whose tables are updated; if empty, the tables are printed."""

    page: str = ""
