"""A way in which a new version may be bad."""

from attrs import frozen


@frozen
class JudgeFault:
    """``share`` of its requests fail, or take ``slower`` times as long.

    Only those of ``route`` or ``model``, if given, only from ``from_s`` after the order
    on, and only while all requests meet it, if ``under_load``.
    """

    name: str
    share: float = 0.0
    slower: float = 1.0
    route: str = ""
    model: str = ""
    from_s: float = 0.0
    under_load: bool = False


JUDGE_FAULTS = (
    JudgeFault("none"),
    JudgeFault("none, one request in ten fails everywhere"),
    JudgeFault("fails one in two", 0.5),
    JudgeFault("fails one in three", 0.34),
    JudgeFault("fails one in twenty", 0.05),
    JudgeFault("fails one in two, late", 0.5, from_s=12.0),
    JudgeFault("fails one in two, on one route", 0.5, route="digest"),
    JudgeFault("fails one in two, with one model", 0.5, model="large"),
    JudgeFault("fails one in two, under load", 0.5, under_load=True),
    JudgeFault("twice as slow", 1.0, 2.0),
    JudgeFault("four times as slow", 1.0, 4.0),
    JudgeFault("eight times as slow", 1.0, 8.0),
    JudgeFault("half of it eight times as slow", 0.5, 8.0),
    JudgeFault("eight times as slow, on one route", 1.0, 8.0, route="digest"),
)
