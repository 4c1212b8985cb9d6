"""The counters and histograms of a gateway."""

from enum import Enum


class Metric(Enum):
    """Name, help text and labels; each label has a fixed set of values.

    Routes and organisations are not used as labels, as catalogues contain hundreds of
    them.
    """

    REQUESTS = (
        "requests_total",
        "requests by kind of route and how they ended",
        ("kind", "ending"),
    )
    REFUSALS = ("refusals_total", "refusals before any attempt, by reason", ("reason",))
    CALLERS_CUT = (
        "callers_cut_total",
        "callers that read nothing and were disconnected for lack of memory",
        (),
    )
    CONNECTIONS_REFUSED = (
        "connections_refused_total",
        "callers' connections closed unread, as the process has too much to do",
        (),
    )
    OVERLOAD_REFUSALS = (
        "overload_refusals_total",
        "requests refused by overload control, by cause",
        ("cause",),
    )
    ATTEMPTS = ("attempts_total", "attempts at endpoints by outcome", ("outcome",))
    CASCADE = (
        "cascade_answers_total",
        "answers by model size, and those dropped for a larger one",
        ("size", "kept"),
    )
    ESCALATIONS_POSTPONED = (
        "escalations_postponed_total",
        "larger models asked later or not at all for lack of capacity",
        ("outcome",),
    )
    EJECTIONS = ("ejections_total", "times that an endpoint was left out", ())
    ENDPOINT_CRASHES = (
        "endpoint_crashes_total",
        "crashes of endpoints under requests of this gateway",
        (),
    )
    LOG_CALLS = ("log_calls_total", "calls to the platform's log", ("call", "result"))
    LOG_QUESTIONS = (
        "log_questions_total",
        "questions to other gateways for the log's records",
        ("result",),
    )
    PEER_MESSAGES = ("peer_messages_total", "reports of gateways", ("direction",))
    PEER_BYTES = ("peer_bytes_total", "bytes of gateways' reports", ("direction",))
    FIRST_CHUNK_SECONDS = (
        "first_piece_seconds",
        "from a request's first byte to the first piece of its answer",
        ("kind",),
    )
    REQUEST_SECONDS = (
        "request_seconds",
        "from a request's first byte to the end of its answer",
        ("kind",),
    )

    @property
    def suffix(self) -> str:
        """The name without the product's prefix."""
        return self.value[0]

    @property
    def help(self) -> str:
        """The help text."""
        return self.value[1]

    @property
    def labels(self) -> tuple[str, ...]:
        """Names of the labels, in the order in which their values are given."""
        return self.value[2]

    @property
    def is_histogram(self) -> bool:
        """Return whether the metric is a histogram; otherwise it is a counter."""
        return self.suffix.endswith("_seconds")
