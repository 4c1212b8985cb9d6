"""One flag of a command."""

from attrs import frozen

ENVIRONMENT_PREFIX = "ACACIACOVE_"


@frozen
class Flag:
    """The name and help text of a flag.

    Type, default and validation come from the settings field of the same name.
    ``metavar`` is the placeholder for the value in help. ``secret`` values are
    never shown. ``short`` is an alternative short name.
    """

    name: str
    help: str
    metavar: str = ""
    secret: bool = False
    short: str | None = None

    @property
    def variable(self) -> str:
        """The environment variable that is read when the flag is not given."""
        return ENVIRONMENT_PREFIX + self.name.upper()
