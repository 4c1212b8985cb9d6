"""One request as it arrived at a stand-in endpoint."""

from attrs import define


@define(eq=False)
class EndpointArrival:
    """What came when, and what became of it.

    ``fields`` are the header fields by lower-case name. ``ended`` tells how
    the run ended: "done", "cut" when its caller left, "broken" when the endpoint
    broke its answer off, "crashed" when it crashed under the run, or "" while it
    runs.
    """

    at_s: float
    instance: str
    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    ran: bool = False
    ended: str = ""
    ended_s: float = 0.0

    @property
    def request_id(self) -> str:
        """The caller's id of the request."""
        return self.fields.get("acaciacove-attempt-id", "")
