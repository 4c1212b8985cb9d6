"""A message on its way to one instance."""

from attrs import frozen

from acaciacove.messages.message import Message


@frozen
class OutgoingMessage:
    """A message and the name of the instance that it goes to."""

    instance: str
    message: Message
