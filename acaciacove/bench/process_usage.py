"""What a process has used, as the kernel counts it."""

import os
from pathlib import Path

from attrs import frozen

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TICKS = 11
SYSTEM_TICKS = 12
RESIDENT_PAGES = 1


@frozen
class ProcessUsage:
    """Processor time since its start, and resident memory now."""

    cpu_s: float
    resident_bytes: int


def process_usage(pid: int) -> ProcessUsage:
    """Read the usage of a process on this machine."""
    process = Path("/proc") / str(pid)
    fields = process.joinpath("stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    pages = int(process.joinpath("statm").read_text().split()[RESIDENT_PAGES])
    return ProcessUsage(ticks / TICKS_PER_S, pages * PAGE_BYTES)
