"""Records the pace and length of one stream, for overload control."""

from attrs import define

from acaciacove.decisions.stream_time import StreamTime
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.request_context import RequestContext

# A write that takes longer waits for the caller.
MAX_WRITE_S = 0.005


@define
class StreamRecorder:
    """Events of one stream; without overload control, nothing is recorded.

    Only the intervals that an endpoint made count. Those of a postponed answer are the
    gateway's, since its events were kept; ``is_whole`` is false for a resumed stream,
    whose length is that of its rest.
    """

    streams: StreamTime | None
    route: str
    is_postponed: bool
    is_whole: bool
    _events: int = 0
    _previous_s: float | None = None

    def record_event(self, now_s: float) -> None:
        """Record that events have arrived."""
        self._events += 1
        if self.streams and self._previous_s is not None and not self.is_postponed:
            self.streams.record_interval(now_s - self._previous_s, now_s)
        self._previous_s = now_s

    def record_written(self, now_s: float) -> None:
        """Record that the events were written.

        After a wait for the caller, the next event has been here for some time.
        """
        if self._previous_s is not None and now_s - self._previous_s >= MAX_WRITE_S:
            self._previous_s = None

    def record_end(self) -> None:
        """Record the end of a complete stream."""
        if self.streams and self.is_whole:
            self.streams.record_length(self.route, self._events)


def new_stream_recorder(gateway: Gateway, context: RequestContext) -> StreamRecorder:
    """Return a recorder for a stream that is about to be forwarded."""
    service = context.service.name
    is_recorded = gateway.settings.overload_control
    return StreamRecorder(
        streams=gateway.overload(service).streams if is_recorded else None,
        route=context.route.name,
        is_postponed=context.postponed_s > 0.0,
        is_whole=context.last_event_id is None,
    )
