"""One request that a stand-in endpoint received."""

from attrs import define


@define(eq=False)
class EndpointArrival:
    """A received request, its time of arrival and its outcome.

    ``fields`` maps lower-case header names to values. ``ran`` is false for a refused
    request. ``ended`` is how the run ended: "done", "cut" when the caller
    disconnected, "broken" when the endpoint truncated its answer, "crashed" when
    the endpoint crashed during the run, "unread" when its answer was not read in
    time, or "" while it runs. ``ended_s`` is when the run or the refusal ended.
    ``said_leaving`` and ``retry_after`` are the values of these fields in the answer,
    None without one.
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
    said_leaving: str | None = None
    retry_after: str | None = None

    @property
    def request_id(self) -> str:
        """The attempt id that the caller sent, or an empty string."""
        return self.fields.get("acaciacove-attempt-id", "")
