"""Whether a request may be sent, and why not."""

from attrs import frozen

from acaciacove.decisions.request_status import RequestStatus


@frozen
class RequestAssessment:
    """Status of a request, and the key that decides it; 0 for a free request."""

    status: RequestStatus
    key: int = 0
