"""Answer of one gateway, printed by ``acaciacove gateways``."""

from attrs import frozen

from acaciacove.gateway.gateway_status import GatewayStatus


@frozen
class GatewayAnswer:
    """The status of the gateway at an address; None if ``fault`` says why not."""

    address: str
    status: GatewayStatus | None = None
    fault: str = ""
