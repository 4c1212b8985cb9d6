"""Measures slopes on one machine and projects them to the size to design for.

Run as ``python -m acaciacove.bench.capacity``; the last line is one JSON object.
"""

import asyncio

import orjson

from acaciacove.bench.capacity_appends import measure_appends
from acaciacove.bench.capacity_billing import measure_bills
from acaciacove.bench.capacity_claims import measure_claims
from acaciacove.bench.capacity_codec import measure_codec
from acaciacove.bench.capacity_connections import measure_connection_bytes
from acaciacove.bench.capacity_decisions import measure_decisions
from acaciacove.bench.capacity_memory import measure_memory, measure_resident
from acaciacove.bench.capacity_polling import measure_polling
from acaciacove.bench.capacity_projection import facts, project
from acaciacove.bench.capacity_relay import measure_relay
from acaciacove.bench.capacity_report import CapacityReport
from acaciacove.bench.capacity_settings import CapacitySettings
from acaciacove.bench.capacity_slopes import CapacitySlopes
from acaciacove.bench.capacity_spread import measure_spread_load


def measure_capacity(settings: CapacitySettings) -> CapacityReport:
    """Measure one thing after the other, so that none disturbs another."""
    size = settings.size
    slopes = CapacitySlopes(
        memory=measure_memory(size.versions),
        resident=measure_resident(),
        connection_bytes=asyncio.run(measure_connection_bytes()),
        decisions=measure_decisions(),
        codec=measure_codec(),
        polls=asyncio.run(measure_polling()),
        claims=measure_claims(),
        bills=asyncio.run(measure_bills()),
        appends=measure_appends(size),
        spread=measure_spread_load(settings.seed),
        relay=asyncio.run(measure_relay()) if settings.relay else None,
    )
    projected = project(slopes, size, settings.budget)
    return CapacityReport(settings, slopes, projected, facts(slopes, size))


def format_report(report: CapacityReport) -> str:
    """Write the projected figures as a table for people."""
    rows = [f"{'role':8} {'figure':42} {'projected':>14} {'budget':>14}  unit"]
    for line in report.projected:
        mark = "  OVER" if line.over else ""
        rows.append(
            f"{line.role:8} {line.name:42} {line.value:>14,.4g} "
            f"{line.budget:>14,.4g}  {line.unit}{mark}"
        )
    rows += [
        f"{'':8} {name:42} {value:>14,.6g}" for name, value in report.facts.items()
    ]
    return "\n".join(rows)


def main() -> None:
    """Measure, print the table, and the whole report as one JSON object."""
    report = measure_capacity(CapacitySettings())
    print(format_report(report))
    print(orjson.dumps(report.document()).decode())


if __name__ == "__main__":
    main()
