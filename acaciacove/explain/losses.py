"""Sums late, failed and wasted answers by reason and time, from log lines."""

from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import Any

from attrs import define, field

from acaciacove.decisions.confidence_calibration import ConfidenceCalibration
from acaciacove.explain.log_line import LogLine
from acaciacove.gateway.log_events import Event

INTERVAL_S = 10.0
SERVED_STATUS = "served"
# An answer counts as late by queueing if this factor times its total delay over the
# predicted times exceeds the time to its first chunk.
QUEUED_RATIO = 2.0


class Loss(StrEnum):
    """Why a request was late or failed; each request counts once."""

    LATE_QUEUED = "late_queued"
    LATE_RESENT = "late_resent"
    LATE_LARGE = "late_large"
    CALLER_LEFT = "caller_left"
    BROKEN_OFF = "broken_off"
    FAILED = "failed"
    REFUSED = "refused"


@define
class LossRow:
    """Counts of one interval: requests, losses by reason, and prompt tokens.

    ``poor`` is the expected number of poor answers, estimated from the confidence
    that the models reported. ``tokens_kept`` counts the prompt tokens of answers
    that callers got, ``tokens_dropped`` those of all other answers.
    """

    clock: str = ""
    requests: int = 0
    losses: dict[Loss, int] = field(factory=lambda: defaultdict(int))
    poor: float = 0.0
    tokens_kept: int = 0
    tokens_dropped: int = 0

    def merge(self, other: "LossRow") -> None:
        """Add the counts of another interval."""
        self.requests += other.requests
        for loss, count in other.losses.items():
            self.losses[loss] += count
        self.poor += other.poor
        self.tokens_kept += other.tokens_kept
        self.tokens_dropped += other.tokens_dropped


def sum_losses(lines: Iterable[LogLine]) -> list[str]:
    """Return a table with a row for each ten seconds and a total row."""
    rows: dict[float, LossRow] = defaultdict(LossRow)
    for line in lines:
        if line.event not in (Event.REQUEST, Event.CALLER_REFUSED):
            continue
        row = rows[line.at_s // INTERVAL_S * INTERVAL_S]
        row.clock = row.clock or line.clock[:8]
        row.requests += 1
        if line.event == Event.CALLER_REFUSED:
            row.losses[Loss.REFUSED] += 1
        else:
            _count_request(row, line.fields)
    if not rows:
        return []
    total = LossRow(clock="all")
    for row in rows.values():
        total.merge(row)
    header = ["from", "requests", *(loss.value for loss in Loss), "poor", "kept"]
    table = ["\t".join([*header, "dropped"])]
    table += [_format_row(rows[interval_start_s]) for interval_start_s in sorted(rows)]
    return [*table, _format_row(total)]


def _count_request(row: LossRow, fields: dict[str, Any]) -> None:
    loss = classify_loss(fields)
    if loss is not None:
        row.losses[loss] += 1
    heads = fields.get("heads") or []
    tokens = fields.get("input_tokens") or 0
    is_served = fields.get("status") == SERVED_STATUS
    for index, (_, _, confidence, _, _) in enumerate(heads):
        is_kept = is_served and index == len(heads) - 1
        row.tokens_kept += tokens if is_kept else 0
        row.tokens_dropped += 0 if is_kept else tokens
        if is_kept and confidence is not None:
            row.poor += 1.0 - ConfidenceCalibration().good_probability(confidence)


def classify_loss(fields: dict[str, Any]) -> Loss | None:
    """Return why the request of a ``request`` line was late or failed, if it was."""
    status = str(fields.get("status"))
    if status == "caller_left":
        return Loss.CALLER_LEFT
    if status == "broken_off":
        return Loss.BROKEN_OFF
    if status == "503":
        return Loss.REFUSED
    if status != SERVED_STATUS:
        return Loss.FAILED
    first_s, target_s = fields.get("first_piece_s"), fields.get("target_s")
    if first_s is None or target_s is None or first_s <= target_s:
        return None
    heads = fields.get("heads") or []
    if fields.get("tries", 0) > len(heads):
        return Loss.LATE_RESENT
    waited_s = sum(taken - predicted for *_, taken, predicted in heads)
    return Loss.LATE_QUEUED if QUEUED_RATIO * waited_s > first_s else Loss.LATE_LARGE


def _format_row(row: LossRow) -> str:
    counts = [str(row.losses[loss]) for loss in Loss]
    tokens = [str(row.tokens_kept), str(row.tokens_dropped)]
    return "\t".join(
        [row.clock, str(row.requests), *counts, f"{row.poor:.1f}", *tokens]
    )
