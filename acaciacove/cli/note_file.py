"""Reads the file of a release note."""

from pathlib import Path

from acaciacove.context import Environment
from acaciacove.errors import InvalidSettingsError

STANDARD_INPUT = "-"


def read_note_file(file: str, max_bytes: int, env: Environment) -> bytes:
    """Read up to one byte more than the limit; raises InvalidSettingsError."""
    if file == STANDARD_INPUT:
        return env.stdin.read(max_bytes + 1).encode()
    try:
        with Path(file).open("rb") as stream:
            return stream.read(max_bytes + 1)
    except OSError as error:
        raise InvalidSettingsError([f"NOTE {error.strerror}: {file}"]) from error
