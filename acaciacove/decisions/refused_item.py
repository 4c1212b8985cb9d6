"""Waiting request that admission refused."""

from attrs import frozen

from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.refusal import Refusal


@frozen
class RefusedItem:
    """The item with its refusal; the request has never run."""

    item: WaitingItem
    refusal: Refusal
