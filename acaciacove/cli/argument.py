"""One positional argument of a command."""

from attrs import frozen


@frozen
class Argument:
    """An argument's name, which is that of a settings field, and its help.

    ``variadic`` arguments, always the last, take every word that is left.
    """

    name: str
    metavar: str
    help: str
    variadic: bool = False
