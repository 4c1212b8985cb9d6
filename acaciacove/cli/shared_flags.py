"""Flags and arguments that several commands share."""

from acaciacove.cli.argument import Argument
from acaciacove.cli.flag import Flag

LOG_URL = Flag(
    "log_url",
    "URL of the platform's append-only log, which keeps release notes and decisions.",
    "URL",
)
JSON = Flag("json", "Print one JSON object instead of text, for scripts.")
OPERATOR = Flag(
    "operator",
    "Who publishes or decides; kept in the log for the history.",
    "NAME",
)
MAX_NOTE_BYTES = Flag(
    "max_note_bytes",
    "Refuse release notes larger than this many bytes before reading them.",
    "BYTES",
)
TIMEOUT = Flag(
    "timeout_s",
    "Seconds until the command gives up on a log that does not answer. What became "
    "of the record is then unknown, and the exit status says so.",
    "SECONDS",
)
INSTANCE_LIST_URL = Flag(
    "instance_list_url",
    "URL of the platform's list of live and leaving instances. Empty (for the "
    "daemons): other processes are met through their messages only.",
    "URL",
)
NOTE = Argument("file", "NOTE", "A release note in YAML, or - for standard input.")
