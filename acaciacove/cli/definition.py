"""Every command with every flag, in one place."""

from acaciacove.cli import (
    bench,
    demo,
    entry,
    help_settings,
    load,
    release_diff,
    release_publish,
    release_show,
    release_validate,
    sidecar,
    standins,
    status,
)
from acaciacove.cli.argument import Argument
from acaciacove.cli.command import Command
from acaciacove.cli.decide import decide, instance_decision, zone_decision
from acaciacove.cli.flag import Flag
from acaciacove.settings.bench_settings import BenchSettings
from acaciacove.settings.decision_settings import DecisionSettings
from acaciacove.settings.diff_settings import DiffSettings
from acaciacove.settings.entry_settings import EntrySettings
from acaciacove.settings.file_settings import FileSettings
from acaciacove.settings.help_settings import HelpSettings
from acaciacove.settings.load_settings import LoadSettings
from acaciacove.settings.no_settings import NoSettings
from acaciacove.settings.publish_settings import PublishSettings
from acaciacove.settings.show_settings import ShowSettings
from acaciacove.settings.sidecar_settings import SidecarSettings
from acaciacove.settings.standins_settings import StandinsSettings
from acaciacove.settings.status_settings import StatusSettings

#
# Flags that several commands share
#

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

#
# Daemons
#

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

#
# Release notes
#

RELEASE_VALIDATE = Command(
    words=("release", "validate"),
    summary="List every fault in a release note.",
    help="""
        Checks a release note and lists every fault with its line and its path of
        keys. Nothing is published. With --log_url the names in the note are also
        checked against the release in force.

        Exit status: 0 without faults, 3 with faults.
    """,
    settings=FileSettings,
    run=release_validate.run,
    arguments=(NOTE,),
    flags=(LOG_URL, MAX_NOTE_BYTES, JSON),
)
RELEASE_DIFF = Command(
    words=("release", "diff"),
    summary="Show what a release note would add, change and withdraw.",
    help="""
        Compares a release note with the release in force. The output begins with the
        release revision that it was compared with; write it into the note as
        based_on, and the note is accepted only if nobody publishes in between.

        Exit status: 0, or 3 when the note has faults.
    """,
    settings=DiffSettings,
    run=release_diff.run,
    arguments=(NOTE,),
    flags=(LOG_URL, MAX_NOTE_BYTES, JSON),
)
RELEASE_PUBLISH = Command(
    words=("release", "publish"),
    summary="Put a release note in force.",
    help="""
        Checks a release note, appends it to the log, and reads the log back to tell
        whether it is in force or which note was first. A note is in force whole or
        not at all.

        The command may be repeated: a note whose id is in the log is not appended
        again, and what became of it is reported. Repeat it when the outcome is
        unknown.

        Exit status: 0 in force, 3 the note has faults, 4 another note was first,
        5 outcome unknown, 6 the log did not answer and nothing was appended.
    """,
    settings=PublishSettings,
    run=release_publish.run,
    arguments=(NOTE,),
    flags=(LOG_URL, OPERATOR, TIMEOUT, MAX_NOTE_BYTES, JSON),
)
RELEASE_SHOW = Command(
    words=("release", "show"),
    summary="Show what is in force, and the latest notes and decisions.",
    help="""
        Reads the log and prints the versions, organisations, availability zones out
        and instances out that are in force, then the latest records with the verdict
        on each.
    """,
    settings=ShowSettings,
    run=release_show.run,
    flags=(
        LOG_URL,
        Flag("history", "How many of the latest records to list.", "COUNT"),
        Flag("yaml", "Print what is in force as a release note in YAML."),
        JSON,
    ),
)

#
# Availability zones and instances
#

DECISION_FLAGS = (
    LOG_URL,
    OPERATOR,
    Flag(
        "decision_id",
        "Id of the decision. One whose id is in the log is not appended again, so "
        "that a command may be repeated. Empty: a fresh id.",
        "ID",
    ),
    TIMEOUT,
    JSON,
)
ZONE = Argument("name", "ZONE", "Name of the availability zone.")
INSTANCE = Argument("name", "INSTANCE", "Name of the instance.")
ZONE_OUT = Command(
    words=("zone", "out"),
    summary="Take an availability zone out: no new work goes there.",
    help="""
        Takes an availability zone out. Within a few seconds no new work goes to its
        endpoints; work in flight finishes.

        Exit status: 0 decided, 5 outcome unknown, 6 the log did not answer.
    """,
    settings=DecisionSettings,
    run=decide(zone_decision(out=True)),
    arguments=(ZONE,),
    flags=DECISION_FLAGS,
)
ZONE_IN = Command(
    words=("zone", "in"),
    summary="Bring an availability zone back.",
    help="""
        Brings an availability zone back. Its endpoints take work again, freshly
        started ones no more than they bear.

        Exit status: 0 decided, 5 outcome unknown, 6 the log did not answer.
    """,
    settings=DecisionSettings,
    run=decide(zone_decision(out=False)),
    arguments=(ZONE,),
    flags=DECISION_FLAGS,
)
INSTANCE_OUT = Command(
    words=("instance", "out"),
    summary="Take one instance out: no new work goes there.",
    help="""
        Takes an instance out by its name. Within a few seconds it gets no new work;
        work in flight finishes.

        Exit status: 0 decided, 5 outcome unknown, 6 the log did not answer.
    """,
    settings=DecisionSettings,
    run=decide(instance_decision(out=True)),
    arguments=(INSTANCE,),
    flags=DECISION_FLAGS,
)
INSTANCE_IN = Command(
    words=("instance", "in"),
    summary="Bring one instance back.",
    help="""
        Brings an instance back by its name.

        Exit status: 0 decided, 5 outcome unknown, 6 the log did not answer.
    """,
    settings=DecisionSettings,
    run=decide(instance_decision(out=False)),
    arguments=(INSTANCE,),
    flags=DECISION_FLAGS,
)

STATUS = Command(
    words=("status",),
    summary="Show the fleet: every instance with its state, load and revision.",
    help="""
        Reads what is in force from the log and the instances from the platform's
        list, asks every instance for its status, and prints one table. An instance
        that does not answer is shown with what the list says of it.

        Exit status: 0, or 6 when the log or the list did not answer.
    """,
    settings=StatusSettings,
    run=status.run,
    flags=(
        LOG_URL,
        INSTANCE_LIST_URL,
        Flag("timeout_s", "Seconds that one instance may take to answer.", "SECONDS"),
        JSON,
    ),
)

#
# Trying it out
#

DEMO = Command(
    words=("demo",),
    summary="Run both deployments on stand-ins and send sample requests.",
    help="""
        Runs two deployments with stand-ins of engines, services and the platform in
        this one process on loopback, sends a few requests, and prints what was routed
        where and why.
    """,
    settings=NoSettings,
    run=demo.run,
)

STANDINS = Command(
    words=("standins",),
    summary="Run stand-ins of the platform and of endpoints, to try things on.",
    help="""
        Serves small stand-ins of the log, the instance list, the rating service, the
        weight store, and of model engines and plain services, on the ports that a
        fleet file names, until SIGTERM or SIGINT. They keep everything in memory and
        are for trying out and for tests only. examples/ holds a fleet file.

        Exit status: 0, or 3 when the file has faults.
    """,
    settings=StandinsSettings,
    run=standins.run,
    arguments=(
        Argument("file", "FLEET", "A fleet file in YAML, or - for standard input."),
    ),
    flags=(SEED,),
)
BENCH = Command(
    words=("bench",),
    summary="Measure the decisions, and what entry and sidecar add to a call.",
    help="""
        Runs one bench.

        cascade, bad_version, balance, cold_start, fairness, zone_move, overload and
        mix run the decisions on drawn load, ours beside baselines on the same
        arrivals, and print one table.

        overhead starts a small fleet of processes on loopback and compares calls
        through entry and sidecar with calls of the engine itself.

        promises sends random requests to a simulated fleet under faults and asserts
        every promise; --break_promise takes one mechanism away to see that its check
        rises. Exit status 7 when a promise was found broken.

        capacity measures slopes on this machine, projects them to the size to
        design for, and marks what is over its budget.

        With --json the last line is one JSON object. Flags that a bench does not
        know are left alone; empty ones take the bench's own default.
    """,
    settings=BenchSettings,
    run=bench.run,
    arguments=(Argument("bench", "BENCH", "Name of the bench, such as cascade."),),
    flags=(
        Flag("seed", "Seed of all random draws.", "NUMBER"),
        Flag("policy", "Run this policy alone, such as ours.", "NAME"),
        Flag("duration_s", "Simulated seconds of load.", "SECONDS"),
        Flag("rate_per_s", "Requests that arrive in a second.", "RATE"),
        Flag(
            "load",
            "Offered work as a share of what the warm fleet can serve.",
            "SHARE",
        ),
        Flag("entries", "How many entries choose side by side.", "COUNT"),
        Flag("endpoints", "How many endpoints serve.", "COUNT"),
        Flag("organisations", "How many organisations send.", "COUNT"),
        Flag("rated_share", "Share of the answers that get a rating.", "SHARE"),
        Flag("rating_delay_s", "Seconds until a rating arrives.", "SECONDS"),
        Flag("report_lag_s", "Age of load reports in seconds.", "SECONDS"),
        Flag("rounds", "Rounds of promises, a hundred requests each.", "COUNT"),
        Flag(
            "break_promise",
            "Mechanism that promises does without, such as claims; --break for short. "
            "Empty: none.",
            "NAME",
            short="break",
        ),
        JSON,
    ),
)
LOAD = Command(
    words=("load",),
    summary="Send requests from many callers and check every answer.",
    help="""
        Is a number of callers who send one request after another to a running entry,
        and checks that each answer is whole and the caller's own. Prints counts,
        refusals by reason and quantiles of the times.

        Exit status: 0, or 7 when an answer was short, broken off without a word, or
        somebody else's.
    """,
    settings=LoadSettings,
    run=load.run,
    flags=(
        Flag("entry_url", "URL of an entry or of the balancer.", "URL"),
        Flag(
            "token",
            "Bearer token of the organisation to be. Pass it by its environment "
            "variable: flags show in process lists.",
            "TOKEN",
            secret=True,
        ),
        Flag("chat_api", "API, or model@version, that chat requests name.", "API"),
        Flag("service_api", "API of the plain service that is called.", "API"),
        Flag("service_path", "Path of its calls that may not be repeated.", "PATH"),
        Flag("callers", "Callers that send side by side.", "COUNT"),
        Flag("requests", "Stop after so many requests in all.", "COUNT"),
        Flag("seconds", "Stop after so many seconds.", "SECONDS"),
        Flag("chat_share", "Share of chat requests, 0 to 1; the rest call.", "SHARE"),
        Flag("stream_share", "Share of chat requests that are streamed.", "SHARE"),
        Flag("max_tokens", "Tokens that a chat request asks for.", "COUNT"),
        Flag("prompt_words", "Words of a chat request's prompt.", "COUNT"),
        Flag("timeout_s", "Seconds that a caller waits for an answer.", "SECONDS"),
        Flag(
            "check_text",
            "Compare answers with the text that the stand-ins generate.",
        ),
        Flag("seed", "Seed of the requests that are made up.", "NUMBER"),
        JSON,
    ),
)
HELP_SETTINGS = Command(
    words=("help-settings",),
    summary="Print the tables of all settings for the operators' page.",
    help="""
        Prints every flag of every command, its environment variable, its default and
        its meaning as Markdown tables. docs/operations.md holds them, and a test
        compares the two; after a change, --page=docs/operations.md puts it right.
    """,
    settings=HelpSettings,
    run=help_settings.run,
    flags=(
        Flag(
            "page",
            "Write the tables into this page, between its two settings comments, "
            "instead of printing them.",
            "FILE",
        ),
    ),
)

COMMANDS = (
    ENTRY,
    SIDECAR,
    RELEASE_VALIDATE,
    RELEASE_DIFF,
    RELEASE_PUBLISH,
    RELEASE_SHOW,
    ZONE_OUT,
    ZONE_IN,
    INSTANCE_OUT,
    INSTANCE_IN,
    STATUS,
    DEMO,
    STANDINS,
    BENCH,
    LOAD,
    HELP_SETTINGS,
)
