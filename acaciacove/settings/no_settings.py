"""Settings of commands that have none."""

from attrs import frozen

from acaciacove.settings.checked_settings import CheckedSettings


@frozen
class NoSettings(CheckedSettings):
    """Nothing to set: the command brings all that it needs."""
