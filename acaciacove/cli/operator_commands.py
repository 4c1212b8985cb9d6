"""Commands for availability zones, instances and the fleet's status."""

from acaciacove.cli import (
    gateways,
    status,
)
from acaciacove.cli.argument import Argument
from acaciacove.cli.command import Command
from acaciacove.cli.decision_command import (
    decision_command,
    instance_decision,
    zone_decision,
)
from acaciacove.cli.flag import Flag
from acaciacove.cli.shared_flags import (
    INSTANCE_LIST_URL,
    JSON,
    LOG_URL,
    OPERATOR,
    TIMEOUT,
)
from acaciacove.settings.decision_settings import DecisionSettings
from acaciacove.settings.gateways_settings import GatewaysSettings
from acaciacove.settings.status_settings import StatusSettings

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
    run=decision_command(zone_decision(out=True)),
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
    run=decision_command(zone_decision(out=False)),
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
    run=decision_command(instance_decision(out=True)),
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
    run=decision_command(instance_decision(out=False)),
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

GATEWAYS = Command(
    words=("gateways",),
    summary="Show what gateways know of demand, spare capacity and refusals.",
    help="""
        Asks gateways for their status on their metrics ports, all at the same time, and
        prints two tables. The first has a row for each gateway and service: requests
        per second, usable endpoints, the lowest estimated wait, the admission level,
        and refusals by reason since the gateway's start. The second has a row for each
        endpoint over all gateways: its load as last reported, the machine's pace, its
        slowness and the estimated wait. A last line names the organisations that were
        refused for overload most.

        A gateway that does not answer in time, or answers something else than a status,
        is shown with that fault.

        Exit status: 0, or 2 when an address has a fault.
    """,
    settings=GatewaysSettings,
    run=gateways.run,
    arguments=(
        Argument(
            "addresses",
            "HOST:PORT[,HOST:PORT...]",
            "Metrics ports of gateways, by IP number; separated by commas or blanks.",
            variadic=True,
        ),
    ),
    flags=(
        Flag("timeout_s", "Seconds that one gateway may take to answer.", "SECONDS"),
        JSON,
    ),
)
