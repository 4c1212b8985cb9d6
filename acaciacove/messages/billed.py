"""Message of an entry that confirms billing records to a sidecar."""

from attrs import frozen


@frozen
class Billed:
    """Requests whose billing record is known to be in the log."""

    request_ids: tuple[str, ...] = ()
