"""Fair shares of a service's tokens, for the load of one organisation's surge."""

from math import exp

from attrs import define, field

# Time constant within which tokens are compared. A shorter one makes a single long
# prompt exceed the share; a longer one gives a surge more time before it is limited.
SHARING_S = 2.0
# Organisations with less than this are forgotten; a request has at least one token.
MIN_TOKENS = 0.01
# Sums of the same tokens in another order differ by less than this share.
ROUNDING = 1e-9


@define
class OrganisationTokens:
    """Recent tokens of one organisation: those it asked for, and those admitted."""

    offered: float = 0.0
    admitted: float = 0.0


@define
class TokenShares:
    """Max-min fair shares: what one organisation does not use is left to the others.

    Counts fade with ``SHARING_S``. ``fair_tokens`` is the share of an organisation that
    asks for more than that, infinite while all get what they ask for.
    """

    fair_tokens: float = float("inf")
    _counts: dict[str, OrganisationTokens] = field(factory=dict)
    _faded_at_s: float = float("-inf")

    def offer(self, organisation: str, tokens: float) -> None:
        """Count the tokens of a request that arrives."""
        self._counts.setdefault(organisation, OrganisationTokens()).offered += tokens

    def admit(self, organisation: str, tokens: float) -> None:
        """Count the tokens of a request that is admitted."""
        self._counts.setdefault(organisation, OrganisationTokens()).admitted += tokens

    def is_above(self, organisation: str) -> bool:
        """Return whether an organisation has used its fair share."""
        counts = self._counts.get(organisation)
        return counts is not None and counts.admitted > self.fair_tokens

    @property
    def admitted_per_s(self) -> float:
        """Rate of the tokens admitted lately."""
        return sum(c.admitted for c in self._counts.values()) / SHARING_S

    def update(self, now_s: float) -> None:
        """Fade the counts and compute the fair share anew."""
        decay = exp(-(now_s - self._faded_at_s) / SHARING_S)
        self._faded_at_s = now_s
        for name, counts in list(self._counts.items()):
            counts.offered *= decay
            counts.admitted *= decay
            if counts.offered < MIN_TOKENS:
                del self._counts[name]
        self.fair_tokens = _fair_share(
            sorted(counts.offered for counts in self._counts.values()),
            sum(counts.admitted for counts in self._counts.values()),
        )


def _fair_share(demands: list[float], capacity: float) -> float:
    """Return the share at which the demands, in ascending order, use the capacity."""
    left = capacity
    for index, demand in enumerate(demands):
        share = left / (len(demands) - index)
        if demand > share * (1.0 + ROUNDING):
            return share
        left -= demand
    return float("inf")
