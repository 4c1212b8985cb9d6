"""Commands that run the daemons, with their flags."""

from acaciacove.cli import (
    entry,
    sidecar,
)
from acaciacove.cli.command import Command
from acaciacove.cli.flag import Flag
from acaciacove.cli.shared_flags import INSTANCE_LIST_URL, LOG_URL
from acaciacove.settings.entry_settings import EntrySettings
from acaciacove.settings.sidecar_settings import SidecarSettings

DAEMON_FLAGS = (
    Flag(
        "name",
        "Name of this instance, unique in the fleet. Instance decisions, log lines "
        "and metrics carry it.",
        "NAME",
    ),
    Flag("region", "Region that this instance stands in.", "REGION"),
    Flag(
        "availability_zone",
        "Availability zone that this instance stands in. Work prefers endpoints of "
        "the same availability zone, and none goes to one that operators took out.",
        "ZONE",
    ),
    Flag("host", "IP number to listen on; other processes reach it there.", "IP"),
    Flag(
        "http_port",
        "Port for HTTP: metrics and probes, and on an entry the callers' requests. "
        "0 lets the operating system choose.",
        "PORT",
    ),
    Flag(
        "peer_port",
        "Port for the system's own messages, TCP and UDP. 0 lets the operating "
        "system choose.",
        "PORT",
    ),
    LOG_URL,
    INSTANCE_LIST_URL,
)
DRAIN_LIMIT = Flag(
    "drain_limit_s",
    "Seconds that a process which was told to stop waits for its requests to finish.",
    "SECONDS",
)
DRAIN_NOTICE = Flag(
    "drain_notice_s",
    "Seconds that a process which was told to stop still takes new requests while "
    "its readiness fails, so that the balancer can notice before any is refused.",
    "SECONDS",
)
SEED = Flag(
    "seed",
    "Seed of the random choices; the same seed and the same events choose alike.",
    "NUMBER",
)
ENTRY = Command(
    words=("entry",),
    summary="Run one entry: takes callers' requests and routes them.",
    help="""
        Runs one entry in the foreground until SIGTERM or SIGINT. It takes callers'
        requests over HTTP, chooses model, version and endpoint for each, and sends
        back the whole answer.

        After SIGTERM the entry reports that it is not ready, takes no new request,
        and lets those in flight finish for up to --drain_limit_s. Release notes and
        decisions come from the log or from other processes; until one of them has
        been heard, the entry is not ready.
    """,
    settings=EntrySettings,
    run=entry.run,
    flags=(
        *DAEMON_FLAGS,
        Flag(
            "rating_url",
            "URL of the platform's answer-rating service. Empty: costs are chosen by "
            "the quality that release notes declare, and nothing is learned.",
            "URL",
        ),
        Flag(
            "default_deadline_s",
            "Seconds a request may take when its caller names no deadline.",
            "SECONDS",
        ),
        DRAIN_NOTICE,
        DRAIN_LIMIT,
        Flag("max_body_bytes", "Refuse larger request bodies.", "BYTES"),
        Flag("max_header_bytes", "Refuse larger request headers.", "BYTES"),
        Flag(
            "subset_size",
            "Endpoints of one version that this entry talks to. It bounds connections "
            "and load messages in a large fleet.",
            "COUNT",
        ),
        Flag(
            "retry_share",
            "Retries allowed as a share of first attempts, 0 to 1. The bound keeps "
            "retries from feeding an overload.",
            "SHARE",
        ),
        Flag(
            "hedge_share",
            "Second attempts against a slow endpoint, as a share of first attempts, "
            "0 to 1. Only idempotent requests are sent twice.",
            "SHARE",
        ),
        Flag(
            "rating_share",
            "Answers handed to the rating service, as a share of all, 0 to 1.",
            "SHARE",
        ),
        Flag(
            "session_secret",
            "Secret that signs session tokens, the same on all entries, 16 characters "
            "or more. Pass it by its environment variable: flags show in process "
            "lists. Empty: no tokens are handed out.",
            "SECRET",
            secret=True,
        ),
        SEED,
    ),
)
SIDECAR = Command(
    words=("sidecar",),
    summary="Run one sidecar: the only way to its endpoint.",
    help="""
        Runs one sidecar in the foreground until SIGTERM or SIGINT. It stands beside
        one endpoint, a model engine or a plain service, and is the only process that
        talks to it: it checks each request a last time, limits how many run at once,
        and sees to it that calls which may not be repeated run at most once.
    """,
    settings=SidecarSettings,
    run=sidecar.run,
    flags=(
        *DAEMON_FLAGS,
        Flag("endpoint_url", "URL of the endpoint beside this sidecar.", "URL"),
        Flag(
            "versions",
            "Versions that the endpoint serves at the start, separated by commas.",
            "MODEL@VERSION,...",
        ),
        Flag(
            "weight_store_url",
            "URL of the platform's weight store, asked before an engine loads weights.",
            "URL",
        ),
        Flag("max_queue", "Requests that may wait for the endpoint.", "COUNT"),
        DRAIN_NOTICE,
        DRAIN_LIMIT,
        Flag(
            "claim_wait_s",
            "Seconds a call that may not be repeated waits for its claim in the log; "
            "after that it is refused and not run.",
            "SECONDS",
        ),
        Flag(
            "claim_window_s",
            "Seconds that an idempotency key is remembered. An older key is refused. "
            "The log has to keep its records at least as long.",
            "SECONDS",
        ),
        SEED,
    ),
)
