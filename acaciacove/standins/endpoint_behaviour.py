"""Timing and faults of a stand-in for an endpoint of the users' platform."""

from collections.abc import Container

from attrs import define


@define(eq=False)
class EndpointBehaviour:
    """Timing of answers, and faults that a test or demo switches on (default: off).

    - ``work_s``: time before an answer or the first event; ``gap_s``: time between
      events
    - ``event_bytes``: smallest size of an event
    - ``unread_timeout_s``: cuts off an answer that is not read for this long
    - ``failing``: answers 500; ``failing_every``: does so for each n-th request, of
      ``failing_path`` only if that is set
    - ``full``: answers 503 and marks the request as not run; ``retry_after`` is the
      value of that field in these answers
    - ``cut_refusals``: closes the connection in the middle of a refusal's body
    - ``refuses_once``: refuses the first arrival of each body as ``full`` does, and
      sends that refusal a second time after ``second_refusal_s``, on the same
      connection or, with ``second_on_all``, on all that are open then
    - ``leaving``: value of the field that announces the departure, in each answer
    - ``mute``: never answers
    - ``cut_after``: closes the connection in the middle of the event after this many
      (0: before the response head)
    - ``close_delimited``: answers with neither a length nor chunks, and closes the
      connection at the end of each
    - ``crash_after``: crashes in the course of a stream, after this many events
    - ``ends_inside_event``: with ``cut_after``, ends the stream's chunks in order, so
      that only the incomplete event shows the cut
    - ``document``: answers requests for a stream with this JSON document instead
    - ``late_answer``: sends the answer of another request first
    - ``unsigned``: omits the receipt
    - ``early_end``: closes the connection before Content-Length is reached
    - ``lost_answers``: number of requests that run and get no answer, since their
      connections are closed
    - ``limit_per_s``: rate limit stated in each answer
    - ``other_running``, ``waiting``: requests of others that are reported with the load
    - ``pace_percent``: pace of the machine that is reported with the load
    - ``crashing_bodies``: requests with such a body crash the endpoint
    - ``crashing_parts``: requests with such a part of their prompts, the last one
      excepted, crash the endpoint as soon as their answers have begun
    - ``crashes_unattended``: crashes also if the caller of such a request has left
    - ``confidence``: value by model, sent in the response head
    """

    work_s: float = 0.02
    gap_s: float = 0.01
    events: int = 4
    event_bytes: int = 0
    unread_timeout_s: float | None = None
    failing: bool = False
    failing_every: int = 0
    failing_path: str = ""
    full: bool = False
    retry_after: str | None = None
    cut_refusals: bool = False
    refuses_once: bool = False
    second_refusal_s: float = 0.01
    second_on_all: bool = False
    leaving: str | None = None
    mute: bool = False
    cut_after: int | None = None
    close_delimited: bool = False
    crash_after: int | None = None
    ends_inside_event: bool = False
    document: bytes | None = None
    late_answer: bool = False
    unsigned: bool = False
    early_end: bool = False
    lost_answers: int = 0
    limit_per_s: float | None = None
    other_running: int = 0
    waiting: int = 0
    pace_percent: int | None = None
    crashing_bodies: Container[bytes] = ()
    crashing_parts: Container[str] = ()
    crashes_unattended: bool = False
    confidence: dict[str, int] | None = None
