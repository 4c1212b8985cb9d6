"""One answer that was submitted for rating."""

from attrs import frozen


@frozen
class SubmittedAnswer:
    """An answer, the version that generated it and the class of its request."""

    request_id: str
    version: str
    request_class: str
    answer: str
