"""States in one sentence why a request was refused for overload or was late."""

from typing import Any

from acaciacove.decisions.refusal_cause import RefusalCause
from acaciacove.explain.log_line import LogLine
from acaciacove.explain.losses import Loss, classify_loss
from acaciacove.explain.overload_refusals import is_overload_refusal
from acaciacove.gateway.log_events import Event

OVERLOAD_FIELDS = ("level", "wait_s", "wait_age_s")


def request_cause(line: LogLine) -> str | None:
    """Return the cause of a refusal for overload or of a late answer, else None."""
    if is_overload_refusal(line):
        return _refusal_cause(line.fields)
    if line.event != Event.REQUEST:
        return None
    try:
        return _lateness_cause(line.fields)
    except (TypeError, ValueError):
        # The line is from a release that logs the responses' heads in another form.
        return None


def _refusal_cause(fields: dict[str, Any]) -> str | None:
    """Return the cause of a refusal by overload control.

    None if the line has none of the fields of overload control: another limit was
    reached, such as one that the endpoints state.
    """
    level, wait_s, wait_age_s = (fields.get(name) for name in OVERLOAD_FIELDS)
    if level is None and wait_s is None:
        return None
    if fields.get("cause") != RefusalCause.DEADLINE.value:
        why = f"Refused at admission level {level}, which admits more urgent requests"
    else:
        limit_s = fields.get("time_s")
        limit = f" of {limit_s} s" if limit_s is not None else ""
        why = f"Refused because no endpoint could finish it within its time{limit}"
    if wait_s is None:
        return f"{why}; this gateway knew of no wait."
    age = f", known {wait_age_s} s before" if wait_age_s is not None else ""
    return f"{why}: requests waited {wait_s} s at endpoints{age}."


def _lateness_cause(fields: dict[str, Any]) -> str | None:
    loss = classify_loss(fields)
    if loss not in (Loss.LATE_QUEUED, Loss.LATE_RESENT, Loss.LATE_LARGE):
        return None
    heads = fields.get("heads") or []
    waits = []
    if loss is Loss.LATE_RESENT:
        waits.append(f"for a second attempt ({fields['tries']} attempts)")
    if loss is Loss.LATE_QUEUED:
        waited_s = sum(taken - predicted for *_, taken, predicted in heads)
        waits.append(f"in a queue, {waited_s:.2f} s longer than predicted")
    if fields.get("postponed_s"):
        waits.append(f"{fields['postponed_s']} s for capacity of a larger model")
    if len(heads) > 1:
        smaller_s = sum(taken for *_, taken, _ in heads[:-1])
        small, large = heads[0][1], heads[-1][1]
        waits.append(f"for a larger model, {large} after {smaller_s:.2f} s of {small}")
    waited = (
        " and ".join(waits) or "neither in a queue nor for another attempt or model"
    )
    return (
        f"Late: its first piece took {fields['first_piece_s']} s "
        f"and its target is {fields['target_s']} s; it waited {waited}."
    )
