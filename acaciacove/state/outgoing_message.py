"""A message to be sent to one instance."""

from attrs import frozen

from acaciacove.messages.message import Message


@frozen
class OutgoingMessage:
    """A message and the name of its receiver."""

    instance: str
    message: Message
