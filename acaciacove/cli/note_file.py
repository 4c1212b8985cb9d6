"""Reads the file of a release note or fleet file."""

from pathlib import Path

from acaciacove.context import Environment
from acaciacove.errors import InvalidSettingsError

STANDARD_INPUT = "-"


def read_note_file(file: str, max_bytes: int, env: Environment) -> bytes:
    """Read at most ``max_bytes + 1`` bytes, so that callers see an excess.

    Raises InvalidSettingsError if the file cannot be read.
    """
    if file == STANDARD_INPUT:
        return env.stdin.read(max_bytes + 1).encode()
    try:
        with Path(file).open("rb") as stream:
            return stream.read(max_bytes + 1)
    except OSError as error:
        raise InvalidSettingsError([f"NOTE {error.strerror}: {file}"]) from error
