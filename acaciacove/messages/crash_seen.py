"""A crash of an endpoint, as one gateway saw it."""

from attrs import frozen


@frozen
class CrashSeen:
    """``endpoint`` stands for one life of it, ``suspects`` were lost with it."""

    endpoint: int
    suspects: tuple[int, ...]
