"""A request that admission gave up before it ran."""

from attrs import frozen

from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.refusal import Refusal


@frozen
class RefusedItem:
    """The item with its refusal, which is always a true "not run"."""

    item: WaitingItem
    refusal: Refusal
