"""The record of a run: what was sent, answered and run, with times."""

import time
from pathlib import Path


class Record:
    """Writes one line for each thing that happens to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Write one line, beginning with the time in seconds."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()
