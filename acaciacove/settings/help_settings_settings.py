"""Settings of ``help-settings``."""

from attrs import frozen

from acaciacove.settings.checked_settings import CheckedSettings


@frozen
class HelpSettingsSettings(CheckedSettings):
    """The table of settings needs no settings."""
