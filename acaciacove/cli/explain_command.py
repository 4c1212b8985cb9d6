"""The ``explain`` command with its flags."""

from acaciacove.cli import explain
from acaciacove.cli.argument import Argument
from acaciacove.cli.command import Command
from acaciacove.cli.flag import Flag
from acaciacove.settings.explain_settings import ExplainSettings

EXPLAIN = Command(
    words=("explain",),
    summary="Tell what became of a request, from gateways' log lines.",
    help="""
        Reads structured log lines of any number of processes, in any order, and prints
        one request's story: who took it, what was believed and how old that was, where
        it went and why, how it ended, and what else was in trouble then. For a request
        that was refused for overload it states why and what the gateway knew, and for a
        late answer whether it waited in a queue, for a larger model or for a second
        attempt. With --summary it counts how requests ended and why attempts failed,
        for each ten seconds, and sums refusals for overload by organisation. With
        --losses it sums, for each ten seconds, answers that were late (in queues, after
        a second try, or for their size alone), callers that left, answers broken off,
        failed or refused, how many answers were poor by their models' own opinions, and
        the prompt tokens of answers that callers got and of those that were dropped.

        Lines that cannot be read are counted and passed over.

        Exit status: 0, or 1 when no line tells about it.
    """,
    settings=ExplainSettings,
    run=explain.run,
    arguments=(
        Argument(
            "request_id",
            "ID",
            "Id of the request; with --summary or --losses, the first FILE.",
        ),
        Argument(
            "files",
            "FILE",
            "Files of log lines, or - for standard input.",
            variadic=True,
        ),
    ),
    flags=(
        Flag("summary", "Count endings and reasons over time instead."),
        Flag("losses", "Sum what was late, lost, poor and paid for instead."),
    ),
)
