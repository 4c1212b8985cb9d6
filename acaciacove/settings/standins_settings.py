"""Settings of ``standins``."""

from attrs import field, frozen

from acaciacove.settings.checked_settings import CheckedSettings


@frozen
class StandinsSettings(CheckedSettings):
    """The file that describes the platform and the endpoints to simulate."""

    file: str = field()
    seed: int = 0
