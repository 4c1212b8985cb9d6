"""An order to a model engine."""

from enum import StrEnum

from attrs import frozen


class EngineAction(StrEnum):
    """What an engine can be ordered to do."""

    LOAD_VERSION = "load_version"
    UNLOAD_VERSION = "unload_version"
    SET_ROLE = "set_role"


@frozen
class EngineOrder:
    """An order with a fencing token in ``fence``; some engines ignore the token."""

    fence: int
    action: EngineAction
    version: str = ""
    role: str = ""
