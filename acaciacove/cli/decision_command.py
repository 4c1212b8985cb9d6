"""Commands that take availability zones and instances out or bring them back."""

import asyncio
from collections.abc import Callable
from random import Random

from acaciacove.cli.append_once import append_once
from acaciacove.cli.append_outcome import AppendOutcome
from acaciacove.cli.history import read_history
from acaciacove.cli.output import print_json
from acaciacove.context import Environment
from acaciacove.errors import InvalidSettingsError
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.decision_settings import DecisionSettings
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.verdict import Verdict
from acaciacove.state.zone_decision import ZoneDecision

ID_BITS = 128
Decision = ZoneDecision | InstanceDecision
MakeDecision = Callable[[str, DecisionSettings], Decision]


def new_decision_id(random: Random) -> str:
    """Return a random decision id, unique for all practical purposes."""
    return f"{random.getrandbits(ID_BITS):032x}"


def zone_decision(out: bool) -> MakeDecision:
    """Return a function that creates out or in decisions on availability zones."""

    def make_decision(decision_id: str, settings: DecisionSettings) -> Decision:
        return ZoneDecision(decision_id, settings.name, out, settings.operator)

    return make_decision


def instance_decision(out: bool) -> MakeDecision:
    """Return a function that creates out or in decisions on instances."""

    def make_decision(decision_id: str, settings: DecisionSettings) -> Decision:
        return InstanceDecision(decision_id, settings.name, out, settings.operator)

    return make_decision


def decision_command(
    make_decision: MakeDecision,
) -> Callable[[DecisionSettings, Environment], ExitStatus]:
    """Return the function of a command that appends one kind of decision."""

    def run(settings: DecisionSettings, env: Environment) -> ExitStatus:
        decision = make_decision(
            settings.decision_id or new_decision_id(env.random), settings
        )
        outcome = asyncio.run(_append(decision, settings, env))
        _print(decision, outcome, settings, env)
        if outcome.found is None:
            return ExitStatus.OUTCOME_UNKNOWN
        accepted = outcome.found.verdict is Verdict.ACCEPTED
        return ExitStatus.SUCCESS if accepted else ExitStatus.ERROR

    return run


async def _append(
    decision: Decision, settings: DecisionSettings, env: Environment
) -> AppendOutcome:
    """Append a decision unless the log already holds its id."""
    async with env.open_log(settings.log_url) as log:
        history = await read_history(log)
        outcome = await append_once(
            history, log, decision, settings.timeout_s, env.random
        )
    if outcome.found is not None and outcome.found.record != decision:
        raise InvalidSettingsError(
            [
                f"--decision_id {decision.decision_id} belongs to a different record "
                f"at offset {outcome.found.offset}"
            ]
        )
    return outcome


def _print(
    decision: Decision,
    outcome: AppendOutcome,
    settings: DecisionSettings,
    env: Environment,
) -> None:
    found = outcome.found
    direction = "out" if decision.out else "in"
    if settings.json:
        print_json(
            {
                "name": settings.name,
                "out": decision.out,
                "decision_id": decision.decision_id,
                "offset": None if found is None else found.offset,
                "verdict": None if found is None else found.verdict_name,
                "repeated": outcome.repeated,
            },
            env,
        )
    elif found is None:
        env.print(
            f"{settings.name} {direction}: outcome unknown; repeat the command with "
            f"--decision_id={decision.decision_id}"
        )
    else:
        env.print(f"{settings.name} {direction} from revision {found.offset}")
