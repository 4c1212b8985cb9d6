"""Loopback addresses of one soak, distinct from those of concurrent soaks."""

from attrs import frozen

FRONT_PORT = 8000
READINESS_PORT = 8001
PEER_PORT = 8002
METRICS_PORT = 9464
LOG_PORT = 7000
ENDPOINT_PORT = 9000
HOSTS_IN_NET = 250
FIRST_BLOCK, BLOCKS = 16, 200


@frozen
class Addresses:
    """Addresses in one block of 127.0.0.0/8."""

    block: int

    def _host(self, net: int, number: int) -> str:
        more, place = divmod(number, HOSTS_IN_NET)
        return f"127.{self.block}.{net + more}.{place + 1}"

    def gateway(self, number: int) -> str:
        """Return the address that a gateway listens on."""
        return self._host(10, number)

    def log(self) -> str:
        """Return the address that the log listens on."""
        return self._host(1, 0)

    def log_for_gateway(self, number: int) -> str:
        """Return the proxy address through which one gateway reaches the log."""
        return self._host(20, number)

    def endpoint(self, number: int) -> str:
        """Return the address that an endpoint listens on."""
        return self._host(30, number)

    def advertised_endpoint(self, number: int) -> str:
        """Return the proxy address through which gateways reach an endpoint."""
        return self._host(60, number)


def addresses_of(process_id: int) -> Addresses:
    """Return the addresses for the soak that runs in the process with this id."""
    return Addresses(FIRST_BLOCK + process_id % BLOCKS)
