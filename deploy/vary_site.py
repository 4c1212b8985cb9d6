"""Writes a variant of a site file: other models, prices, engines or requests.

    python3 deploy/vary_site.py SITE.toml VARIANT > variant.toml

The routers' decisions must not fit the deployments that they were made beside. Each
variant changes what a catalogue or an engine says and leaves the rest as it is.
"""

import re
import sys
from collections.abc import Callable
from pathlib import Path

Change = Callable[[str], str]
MODEL = re.compile(
    r'(name = "m(?P<rank>\d)", pace = )(?P<pace>[\d.]+)(, quality = )'
    r"(?P<quality>[\d.]+)(, cost = )(?P<cost>[\d.]+)"
)


def scaled(field: str, factor: float) -> Change:
    """Multiply each value of a field."""
    pattern = re.compile(rf"\b({field} = )([\d.]+)")

    def change(text: str) -> str:
        return pattern.sub(lambda m: f"{m[1]}{_short(float(m[2]) * factor)}", text)

    return change


def whole(field: str, factor: float) -> Change:
    """Multiply each value of a field that holds whole numbers."""
    pattern = re.compile(rf"\b({field} = )(\d+)\b")
    return lambda text: pattern.sub(lambda m: f"{m[1]}{int(int(m[2]) * factor)}", text)


def model(rank: int, pace: float = 1, quality: float | None = None, cost: float = 1):
    """Change one model: factors of its pace and cost, and its quality."""

    def replaced(found: re.Match[str]) -> str:
        if int(found["rank"]) != rank:
            return found[0]
        good = quality if quality is not None else found["quality"]
        new_pace = _short(float(found["pace"]) * pace)
        new_cost = _short(float(found["cost"]) * cost)
        return f"{found[1]}{new_pace}{found[4]}{good}{found[6]}{new_cost}"

    return lambda text: MODEL.sub(replaced, text)


def replaced(old: str, new: str) -> Change:
    """Replace a text wherever it stands."""
    return lambda text: text.replace(old, new)


def _short(value: float) -> str:
    return f"{value:.6g}" if "." in f"{value:.6g}" else f"{value:.1f}"


VARIANTS: dict[str, tuple[Change, ...]] = {
    "strong-middle": (model(1, quality=0.95),),
    "strong-small": (model(0, quality=0.85, pace=1.5),),
    "dear": (scaled("cost", 3.0),),
    "cheap-large": (model(2, pace=0.5, cost=0.5),),
    "two-models": (replaced("sizes = [0, 1, 2]", "sizes = [0, 2]"),),
    "slow-engines": (
        scaled("prefill_tokens_per_ms", 0.65),
        scaled("step_ms", 1.4),
        whole("kv_tokens", 0.6),
    ),
}


def main() -> None:
    """Print the variant."""
    text = Path(sys.argv[1]).read_text()
    for change in VARIANTS[sys.argv[2]]:
        text = change(text)
    sys.stdout.write(text)


if __name__ == "__main__":
    main()
