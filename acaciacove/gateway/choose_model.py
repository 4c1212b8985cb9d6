"""Choice of the model for a request: the first one, and a larger one to escalate to."""

from math import sqrt

from attrs import frozen

from acaciacove.decisions.confidence_beliefs import HIGHEST, LOWEST, ConfidenceBeliefs
from acaciacove.decisions.endpoint_backlog import usual_wait_s
from acaciacove.decisions.model_plan import (
    ModelOption,
    Moment,
    first_model,
    next_model,
)
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.choose_endpoint import MOST_COMPARED
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.answer_head import AnswerHead
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.work import Work

# The value of a good response, as a multiple of the highest model price.
PRICE_MULTIPLE = 5.0
# Share of a prompt's shared parts that is assumed not to be cached at the endpoint that
# will be chosen for it.
UNREAD_SHARE = 0.3
# A larger model with fewer pairs of responses than this is explored in place of the
# best one for ``EXPLORATION_SHARE`` of the requests. Once its quality is known, the
# share is ``LATE_EXPLORATION_SHARE``.
UNKNOWN_PAIRS = 6
EXPLORED_SHARE = 0.15
EXPLORED_LATER = 0.01
# Nothing is explored where one second of work delays more requests than this: the
# requests behind it would pay for what is learnt.
CALM_DELAYED_PER_S = 0.5


def choose_first_model(gateway: Gateway, work: Work, now_s: float) -> str:
    """Return the model that a request is sent to first.

    Queue waits are left out of this choice. Otherwise a busy service would be sent
    requests for its largest model at once to save a wait, also those that the smallest
    model serves well, and would become busier still.
    """
    options = _options(gateway, work, work.route.model_sizes, wait_s=0.0)
    may_go_on = work.route.may_repeat and work.route.max_attempts > 1
    beliefs = gateway.confidences(work.service.name)
    moment = Moment(now_s - work.request.arrived_s, work.route.latency_target_s)
    return first_model(options, beliefs, moment, may_go_on)


def choose_next_model(
    gateway: Gateway, work: Work, confidence: float, now_s: float
) -> str | None:
    """Return the model to escalate to, or None where the response is to be kept."""
    sizes = work.route.model_sizes
    asked = work.model
    if asked not in sizes or asked == sizes[-1]:
        return None
    assert asked is not None
    larger = sizes[sizes.index(asked) + 1 :]
    queues = _queues(gateway, work, now_s)
    options = _options(gateway, work, larger, queues.least_s)
    beliefs = gateway.confidences(work.service.name)
    for option in options:
        beliefs.offset(asked, option.name, option.is_largest)
    moment = _moment(gateway, work, queues, now_s)
    chosen = next_model(
        asked,
        confidence,
        options,
        beliefs,
        moment,
        may_go_on_twice=work.sent + 2 <= work.route.max_attempts,
    )
    if chosen is None or moment.delayed_per_s > CALM_DELAYED_PER_S:
        return chosen
    return _explored(gateway, beliefs, asked, larger) or chosen


def _explored(
    gateway: Gateway, beliefs: ConfidenceBeliefs, asked: str, larger: tuple[str, ...]
) -> str | None:
    """Return a larger model to explore, or None, which is most frequent."""
    for name in larger[:-1]:
        is_known = beliefs.offset(asked, name).pairs >= UNKNOWN_PAIRS
        share = EXPLORED_LATER if is_known else EXPLORED_SHARE
        if gateway.random.random() < share:
            return name
    return None


def learn_confidence(
    gateway: Gateway, work: Work, state: EndpointState, head: AnswerHead
) -> float | None:
    """Record the confidence of a response head; return it if it is usable."""
    told = head.confidence
    sizes = work.route.model_sizes
    if told is None or work.model not in sizes:
        return None
    if not LOWEST <= told <= HIGHEST:
        gateway.log.write(
            Event.CONFIDENCE_UNREADABLE,
            endpoint=state.endpoint.instance,
            confidence=told,
        )
        return None
    assert work.model is not None
    beliefs = gateway.confidences(work.service.name)
    if not work.told:
        beliefs.learn_answer(work.model, work.model == sizes[-1], told)
    for model, earlier in work.told.items():
        if sizes.index(model) < sizes.index(work.model):
            beliefs.learn_pair(model, earlier, work.model, told)
    work.told[work.model] = told
    return told


def _answer_value(gateway: Gateway, service: Service) -> float:
    """Return the value of a good response for 1,000 tokens, in the unit of prices.

    It is the geometric mean of two rough estimates: the operator's setting, and a
    multiple of the highest price, since nobody offers a model that costs about as much
    as its responses are worth. The mean stays close where one of the two is close.
    """
    told = gateway.settings.answer_value_per_1k_tokens
    dearest = max(service.model_costs.values(), default=0.0)
    if dearest <= 0.0:
        return told
    return sqrt(told * PRICE_MULTIPLE * dearest)


@frozen
class _Queues:
    """Estimated queue waits of a service's endpoints: the mean and the minimum."""

    endpoints: int
    mean_s: float
    least_s: float


def _queues(gateway: Gateway, work: Work, now_s: float) -> _Queues:
    service = work.service.name
    endpoints = [
        endpoint
        for endpoint in gateway.beliefs.endpoints.values()
        if endpoint.service == service and not endpoint.leaving
    ]
    if not endpoints:
        return _Queues(0, 0.0, 0.0)
    looked_at = endpoints
    if len(endpoints) > MOST_COMPARED:
        looked_at = gateway.random.sample(endpoints, MOST_COMPARED)
    backlogs = [gateway.states.of(endpoint).backlog for endpoint in looked_at]
    usual_s = usual_wait_s(backlogs, now_s)
    waits_s = [backlog.wait_s(now_s, usual_s) for backlog in backlogs]
    return _Queues(len(endpoints), sum(waits_s) / len(waits_s), min(waits_s))


def _moment(gateway: Gateway, work: Work, queues: _Queues, now_s: float) -> Moment:
    sent_per_s = gateway.sent_per_s(work.service.name, now_s) * gateway.gateway_count
    return Moment(
        elapsed_s=now_s - work.request.arrived_s,
        target_s=work.route.latency_target_s,
        delayed_per_s=sent_per_s / max(1, queues.endpoints) * queues.mean_s,
        delay_weight=gateway.delay_cost(work.service.name).weight,
    )


def _options(
    gateway: Gateway, work: Work, models: tuple[str, ...], wait_s: float
) -> list[ModelOption]:
    prompt = work.request.hints.prompt
    unread = 0.0
    if prompt is not None:
        own = prompt.parts[-1][1] if prompt.parts else prompt.input_tokens
        shared = max(0, prompt.input_tokens - own)
        unread = own + UNREAD_SHARE * shared
    value = _answer_value(gateway, work.service)
    found = []
    work_s = 0.0
    for name in models:
        pace = gateway.reading_pace(work.service.name, name)
        # A larger model is never faster, whatever the last few measurements say.
        work_s = max(work_s, pace.predict_s(unread))
        found.append(
            ModelOption(
                name=name,
                is_largest=name == work.route.model_sizes[-1],
                price=work.service.model_costs.get(name, 0.0) / value,
                piece_s=wait_s + work_s,
                work_s=work_s,
            )
        )
    return found
