"""Creates links to sidecars and processes their control messages."""

from collections.abc import Callable

from acaciacove.daemon.shared_state import SharedState
from acaciacove.entry.sidecar_link import SidecarLink
from acaciacove.fleet.instance import Instance
from acaciacove.messages.hello import Hello
from acaciacove.messages.load import Load
from acaciacove.messages.message import Message


def build_link_factory(
    shared: SharedState, on_load: Callable[[str, Load], None]
) -> Callable[[Instance], SidecarLink]:
    """Return a function that creates the link to an endpoint's sidecar.

    ``on_load`` receives an endpoint's name and the load that its sidecar reports.
    """

    def on_control_message(link: SidecarLink, message: Message) -> None:
        """Apply a sidecar's update, or reply to its request for records."""
        if isinstance(message, Hello):
            shared.record_message(message)
            return
        if isinstance(message, Load) and link.peer is not None:
            shared.record_message(link.peer)
            on_load(link.peer.instance, message)
            return
        sender = link.peer.instance if link.peer else ""
        for reply in shared.network.answer(sender, message):
            link.send_if_open(reply)

    def open_link(endpoint: Instance) -> SidecarLink:
        return SidecarLink(
            endpoint.host, endpoint.port, shared.hello, on_control_message
        )

    return open_link
