"""Settings of the demo."""

from attrs import frozen

from acaciacove.settings.checked_settings import CheckedSettings


@frozen
class DemoSettings(CheckedSettings):
    """The demo needs no settings: it brings its own platform and fleet."""
