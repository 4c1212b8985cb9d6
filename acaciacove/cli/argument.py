"""One positional argument of a command."""

from attrs import frozen


@frozen
class Argument:
    """The name, help-page placeholder and help text of an argument.

    ``name`` is also the name of the settings field. A ``variadic`` argument takes
    all remaining words and must be the last.
    """

    name: str
    metavar: str
    help: str
    variadic: bool = False
