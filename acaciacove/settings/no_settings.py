"""Settings of commands without options."""

from attrs import frozen

from acaciacove.settings.checked_settings import CheckedSettings


@frozen
class NoSettings(CheckedSettings):
    """Empty settings, for a command that has no options."""
