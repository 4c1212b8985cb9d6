"""One answer that was handed in for rating."""

from attrs import frozen


@frozen
class SubmittedAnswer:
    """An answer, the version that gave it and the class of its request."""

    request_id: str
    version: str
    request_class: str
    answer: str
