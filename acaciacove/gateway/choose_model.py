"""Which model is asked for a request: the first one, and a larger one after it."""

from math import sqrt

from attrs import frozen

from acaciacove.decisions.confidence_calibration import (
    MAX_CONFIDENCE,
    MIN_CONFIDENCE,
    ConfidenceCalibration,
)
from acaciacove.decisions.endpoint_backlog import baseline_wait_s
from acaciacove.decisions.model_plan import (
    LatencyContext,
    ModelOption,
    first_model,
    next_model,
)
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.choose_endpoint import MAX_COMPARED
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.request_context import RequestContext

# How many times the dearest model's price its good answers are taken to be worth.
VALUE_PER_MAX_PRICE = 5.0
# Of a prompt's shared parts, what is taken to be unread at the endpoint that will be
# chosen for it.
UNCACHED_SHARE = 0.3
# A larger model of which little is known is asked in place of the best one this often,
# until this many pairs of answers have shown how good it is, and seldom from then on.
MIN_EXPLORED_PAIRS = 6
EXPLORATION_SHARE = 0.15
LATE_EXPLORATION_SHARE = 0.01
# Nothing is asked to learn from it where a second of work delays more requests than
# this: what is learnt would be paid for by those behind it.
MAX_EXPLORATION_DELAYED_PER_S = 0.5


def choose_first_model(gateway: Gateway, context: RequestContext, now_s: float) -> str:
    """Return the model that a request is sent to first.

    Queues are left out of this choice. To save a wait, a busy service would be asked
    for its largest model at once, also for what the smallest answers well, and would
    get the busier.
    """
    options = _model_options(gateway, context, context.route.model_sizes, wait_s=0.0)
    may_go_on = context.route.may_repeat and context.route.max_attempts > 1
    beliefs = gateway.confidences(context.service.name)
    moment = LatencyContext(
        now_s - context.request.arrived_s, context.route.latency_target_s
    )
    return first_model(options, beliefs, moment, may_go_on)


def choose_next_model(
    gateway: Gateway, context: RequestContext, confidence: float, now_s: float
) -> str | None:
    """Return the model to ask after an answer, or None where the answer is to stay."""
    sizes = context.route.model_sizes
    model = context.model
    if model not in sizes or model == sizes[-1]:
        return None
    assert model is not None
    larger = sizes[sizes.index(model) + 1 :]
    queues = _queue_waits(gateway, context, now_s)
    options = _model_options(gateway, context, larger, queues.min_s)
    beliefs = gateway.confidences(context.service.name)
    for option in options:
        beliefs.offset(model, option.name, option.is_largest)
    moment = _moment(gateway, context, queues, now_s)
    chosen = next_model(
        model,
        confidence,
        options,
        beliefs,
        moment,
        may_escalate_twice=context.sent + 2 <= context.route.max_attempts,
    )
    if chosen is None or moment.delayed_per_s > MAX_EXPLORATION_DELAYED_PER_S:
        return chosen
    return _explore(gateway, beliefs, model, larger) or chosen


def _explore(
    gateway: Gateway,
    beliefs: ConfidenceCalibration,
    model: str,
    larger: tuple[str, ...],
) -> str | None:
    """Return a model that is asked to learn of it, most often none."""
    for name in larger[:-1]:
        is_known = beliefs.offset(model, name).pairs >= MIN_EXPLORED_PAIRS
        share = LATE_EXPLORATION_SHARE if is_known else EXPLORATION_SHARE
        if gateway.random.random() < share:
            return name
    return None


def learn_confidence(
    gateway: Gateway, context: RequestContext, state: EndpointState, head: ResponseHead
) -> float | None:
    """Learn from the opinion that came with a head; returns it if it can be used."""
    told = head.confidence
    sizes = context.route.model_sizes
    if told is None or context.model not in sizes:
        return None
    if not MIN_CONFIDENCE <= told <= MAX_CONFIDENCE:
        gateway.log.write(
            Event.CONFIDENCE_UNREADABLE,
            endpoint=state.endpoint.instance,
            confidence=told,
        )
        return None
    assert context.model is not None
    beliefs = gateway.confidences(context.service.name)
    if not context.confidences:
        beliefs.learn_answer(context.model, context.model == sizes[-1], told)
    for model, earlier in context.confidences.items():
        if sizes.index(model) < sizes.index(context.model):
            beliefs.learn_pair(model, earlier, context.model, told)
    context.confidences[context.model] = told
    return told


def _answer_value(gateway: Gateway, service: Service) -> float:
    """Return what a good answer is worth for 1,000 tokens, in the prices' unit.

    Two estimates, each of them rough: the operator's setting, and the catalogue, since
    nobody offers a model that costs about what its answers are worth. Their geometric
    mean is never far off where one of them is.
    """
    told = gateway.settings.answer_value_per_1k_tokens
    dearest = max(service.model_costs.values(), default=0.0)
    if dearest <= 0.0:
        return told
    return sqrt(told * VALUE_PER_MAX_PRICE * dearest)


@frozen
class _QueueWaits:
    """Queues before a service's endpoints: the mean wait and the least one."""

    endpoints: int
    mean_s: float
    min_s: float


def _queue_waits(
    gateway: Gateway, context: RequestContext, now_s: float
) -> _QueueWaits:
    service = context.service.name
    endpoints = [
        endpoint
        for endpoint in gateway.view.endpoints.values()
        if endpoint.service == service and not endpoint.draining
    ]
    if not endpoints:
        return _QueueWaits(0, 0.0, 0.0)
    sampled = endpoints
    if len(endpoints) > MAX_COMPARED:
        sampled = gateway.random.sample(endpoints, MAX_COMPARED)
    backlogs = [gateway.states.of(endpoint).backlog for endpoint in sampled]
    baseline_s = baseline_wait_s(backlogs, now_s)
    waits_s = [backlog.wait_s(now_s, baseline_s) for backlog in backlogs]
    return _QueueWaits(len(endpoints), sum(waits_s) / len(waits_s), min(waits_s))


def _moment(
    gateway: Gateway, context: RequestContext, queues: _QueueWaits, now_s: float
) -> LatencyContext:
    sent_per_s = gateway.sent_per_s(context.service.name, now_s) * gateway.gateway_count
    return LatencyContext(
        elapsed_s=now_s - context.request.arrived_s,
        target_s=context.route.latency_target_s,
        delayed_per_s=sent_per_s / max(1, queues.endpoints) * queues.mean_s,
        delay_weight=gateway.delay_cost(context.service.name).weight,
    )


def _model_options(
    gateway: Gateway, context: RequestContext, models: tuple[str, ...], wait_s: float
) -> list[ModelOption]:
    prompt = context.request.hints.prompt
    unread = 0.0
    if prompt is not None:
        own = prompt.parts[-1][1] if prompt.parts else prompt.input_tokens
        shared = max(0, prompt.input_tokens - own)
        unread = own + UNCACHED_SHARE * shared
    value = _answer_value(gateway, context.service)
    found = []
    work_s = 0.0
    for name in models:
        pace = gateway.prefill_latency(context.service.name, name)
        # A larger model is never faster, whatever the last few answers say.
        work_s = max(work_s, pace.predict_s(unread))
        found.append(
            ModelOption(
                name=name,
                is_largest=name == context.route.model_sizes[-1],
                price=context.service.model_costs.get(name, 0.0) / value,
                first_chunk_s=wait_s + work_s,
                work_s=work_s,
            )
        )
    return found
