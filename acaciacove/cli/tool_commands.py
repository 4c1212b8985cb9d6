"""Commands for trying out, testing and measuring the router."""

from acaciacove.cli import (
    bench,
    demo,
    load,
    soak,
    standins,
)
from acaciacove.cli.argument import Argument
from acaciacove.cli.command import Command
from acaciacove.cli.daemon_commands import SEED
from acaciacove.cli.flag import Flag
from acaciacove.cli.shared_flags import JSON
from acaciacove.settings.bench_settings import BenchSettings
from acaciacove.settings.load_settings import LoadSettings
from acaciacove.settings.no_settings import NoSettings
from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.settings.standins_settings import StandinsSettings

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
SOAK = Command(
    words=("soak",),
    summary="Run gateways as processes under drawn faults and check every promise.",
    help="""
        Starts gateways as they are deployed, each a process of its own, on loopback
        before stand-ins of the platform's log and of endpoints, and lets callers call.
        Meanwhile it delays, resets and silences connections, pauses, kills, stops and
        restarts processes, takes the log away, and changes what operators decide, all
        drawn from the seed. Processes are ended by their ids, and only those that the
        soak has started.

        It prints the plan, then what was played and seen, and each promise that was
        broken. --only plays some numbers of the plan, to find the faults that matter.

        Exit status: 0, or 7 when a promise was found broken.
    """,
    settings=SoakSettings,
    run=soak.run,
    flags=(
        SEED,
        Flag("seconds", "How long callers call.", "SECONDS"),
        Flag("gateways", "Gateways, each a process.", "COUNT"),
        Flag("endpoints", "Endpoints to begin with, within this process.", "COUNT"),
        Flag("callers", "Callers that send side by side.", "COUNT"),
        Flag("only", "Play only these numbers of the plan, such as 3,7.", "NUMBERS"),
        Flag("shorten", "If a promise was broken, find few faults that suffice."),
        Flag("log_folder", "Where processes' lines go; default: a new one.", "PATH"),
    ),
)
