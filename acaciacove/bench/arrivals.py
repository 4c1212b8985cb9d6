"""Arrivals drawn by numpy generators."""

from attrs import frozen
from numpy import exp, log
from numpy.random import Generator

from acaciacove.bench.fake_request import FakeRequest

MEAN_TOKENS = 150.0
TOKENS_SIGMA = 0.7
MEAN_PROMPT_TOKENS = 400.0


@frozen
class Stream:
    """One organisation's requests: Poisson arrivals of lognormal work."""

    organisation: str
    rate_per_s: float
    start_s: float
    end_s: float
    batch_share: float = 0.0
    deadline_s: float = 60.0
    sessions: int = 0
    prefixes: int = 0


def draw_requests(stream: Stream, rng: Generator) -> list[FakeRequest]:
    """Draw one stream's requests in order of arrival."""
    span_s = stream.end_s - stream.start_s
    count = int(rng.poisson(stream.rate_per_s * span_s))
    arrivals_s = stream.start_s + span_s * rng.uniform(size=count)
    arrivals_s.sort()
    mu = log(MEAN_TOKENS) - TOKENS_SIGMA**2 / 2
    tokens = exp(rng.normal(mu, TOKENS_SIGMA, count)).clip(4.0, 1500.0)
    batch = rng.uniform(size=count) < stream.batch_share
    sessions = rng.integers(0, max(1, stream.sessions), count)
    prefixes = rng.integers(0, max(1, stream.prefixes), count)
    return [
        FakeRequest(
            f"{stream.organisation}/{stream.start_s:g}/{n}",
            float(arrivals_s[n]),
            stream.organisation,
            float(tokens[n]),
            MEAN_PROMPT_TOKENS,
            stream.deadline_s,
            bool(batch[n]),
            f"{stream.organisation}-{sessions[n]}" if stream.sessions else "",
            f"{stream.organisation}/p{prefixes[n]}" if stream.prefixes else "",
        )
        for n in range(count)
    ]


def request_rate(capacity_tokens_per_s: float, load: float) -> float:
    """Return the arrivals a second that offer a share of the capacity.

    The shortest and longest answers are clipped, which changes the mean little.
    """
    return load * capacity_tokens_per_s / (MEAN_TOKENS + 0.02 * MEAN_PROMPT_TOKENS)
