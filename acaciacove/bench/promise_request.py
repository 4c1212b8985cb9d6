"""One request of a promise run."""

from attrs import frozen


@frozen
class PromiseRequest:
    """What a caller asks for; ``key`` is set for calls that may not be repeated."""

    number: int
    organisation: str
    api: str
    session: str = ""
    carries_token: bool = False
    key: str = ""
    deadline_s: float = 4.0
