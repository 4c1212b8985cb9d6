"""One flag of a command."""

from attrs import frozen

ENVIRONMENT_PREFIX = "ACACIACOVE_"


@frozen
class Flag:
    """A flag's name, which is that of a settings field, and its help.

    Type, default and check come from the settings field of the same name.
    ``metavar`` stands for the value in help; ``secret`` values are never shown.
    ``short`` is a second, shorter name.
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
