"""Choice of the model for a request: the first one, and a larger one to escalate to."""

from math import sqrt

from attrs import evolve

from acaciacove.decisions.confidence_calibration import (
    MAX_CONFIDENCE,
    MIN_CONFIDENCE,
    ConfidenceCalibration,
)
from acaciacove.decisions.model_plan import (
    LatencyContext,
    ModelOption,
    first_model,
    next_model,
)
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.queue_waits import QueueWaits, queue_waits
from acaciacove.gateway.request_context import RequestContext

# The value of a good response, as a multiple of the highest model price.
VALUE_PER_MAX_PRICE = 5.0
# Share of a prompt's shared parts that is assumed not to be cached at the endpoint that
# will be chosen for it.
UNCACHED_SHARE = 0.3
# A larger model with fewer pairs of responses than this is explored in place of the
# best one for ``EXPLORATION_SHARE`` of the requests. Once its quality is known, the
# share is ``LATE_EXPLORATION_SHARE``.
MIN_EXPLORED_PAIRS = 6
EXPLORATION_SHARE = 0.15
LATE_EXPLORATION_SHARE = 0.01
# Nothing is explored where one second of work delays more requests than this: the
# requests behind it would pay for what is learnt.
MAX_EXPLORATION_DELAYED_PER_S = 0.5


def choose_first_model(gateway: Gateway, context: RequestContext, now_s: float) -> str:
    """Return the model that a request is sent to first.

    Queue waits are left out of this choice. Otherwise a busy service would be sent
    requests for its largest model at once to save a wait, also those that the smallest
    model serves well, and would become busier still.
    """
    sizes = context.route.model_sizes
    options = _model_options(gateway, context, sizes, wait_s=0.0, now_s=now_s)
    may_escalate = context.route.may_repeat and context.route.max_attempts > 1
    calibration = gateway.confidences(context.service.name)
    latency = LatencyContext(
        now_s - context.request.arrived_s, context.route.latency_target_s
    )
    return first_model(options, calibration, latency, may_escalate)


def choose_next_model(
    gateway: Gateway,
    context: RequestContext,
    confidence: float,
    now_s: float,
    count_delays: bool = True,
    queues: QueueWaits | None = None,
) -> str | None:
    """Return the model to escalate to, or None where the response is to be kept.

    Without ``count_delays`` the requests behind this one are left out. ``queues`` are
    the present waits of the service's endpoints, if they are known already.
    """
    sizes = context.route.model_sizes
    model = context.model
    if model not in sizes or model == sizes[-1]:
        return None
    assert model is not None
    larger = sizes[sizes.index(model) + 1 :]
    queues = queues or queue_waits(gateway, context.service.name, now_s)
    options = _model_options(gateway, context, larger, queues.min_s, now_s)
    calibration = gateway.confidences(context.service.name)
    for option in options:
        calibration.offset(model, option.name, option.is_largest)
    waiting = _waiting_requests(gateway, context, queues, now_s)
    latency = _latency_context(gateway, context, queues, waiting, now_s)
    if not count_delays:
        latency = evolve(latency, delayed_per_s=0.0)
    chosen = next_model(
        model,
        confidence,
        options,
        calibration,
        latency,
        may_escalate_twice=context.sent_count + 2 <= context.route.max_attempts,
    )
    if chosen is None or waiting > MAX_EXPLORATION_DELAYED_PER_S:
        return chosen
    return _explore(gateway, calibration, model, larger) or chosen


def _explore(
    gateway: Gateway,
    calibration: ConfidenceCalibration,
    model: str,
    larger: tuple[str, ...],
) -> str | None:
    """Return a larger model to explore, or None, as in most cases."""
    for name in larger[:-1]:
        is_known = calibration.offset(model, name).pairs >= MIN_EXPLORED_PAIRS
        share = LATE_EXPLORATION_SHARE if is_known else EXPLORATION_SHARE
        if gateway.random.random() < share:
            return name
    return None


def learn_confidence(
    gateway: Gateway, context: RequestContext, state: EndpointState, head: ResponseHead
) -> float | None:
    """Record the confidence of a response head; return it if it is usable."""
    confidence = head.confidence
    sizes = context.route.model_sizes
    if confidence is None or context.model not in sizes:
        return None
    if not MIN_CONFIDENCE <= confidence <= MAX_CONFIDENCE:
        gateway.log.write(
            Event.CONFIDENCE_UNREADABLE,
            endpoint=state.endpoint.instance,
            confidence=confidence,
        )
        return None
    assert context.model is not None
    calibration = gateway.confidences(context.service.name)
    if not context.confidences:
        calibration.learn_answer(context.model, context.model == sizes[-1], confidence)
    for model, earlier_confidence in context.confidences.items():
        if sizes.index(model) < sizes.index(context.model):
            calibration.learn_pair(model, earlier_confidence, context.model, confidence)
    context.confidences[context.model] = confidence
    return confidence


def _response_value(gateway: Gateway, service: Service) -> float:
    """Return the value of a good response for 1,000 tokens, in the unit of prices.

    It is the geometric mean of two rough estimates: the operator's setting, and a
    multiple of the highest price, since nobody offers a model that costs about as much
    as its responses are worth. The mean is not far off even where one of the two is.
    """
    setting = gateway.settings.answer_value_per_1k_tokens
    max_price = max(service.model_costs.values(), default=0.0)
    if max_price <= 0.0:
        return setting
    return sqrt(setting * VALUE_PER_MAX_PRICE * max_price)


def _waiting_requests(
    gateway: Gateway, context: RequestContext, queues: QueueWaits, now_s: float
) -> float:
    """Return the requests that wait at an endpoint, by Little's law."""
    sent_per_s = gateway.sent_per_s(context.service.name, now_s) * gateway.gateway_count
    return sent_per_s / max(1, queues.endpoints) * queues.mean_s


def _latency_context(
    gateway: Gateway,
    context: RequestContext,
    queues: QueueWaits,
    waiting: float,
    now_s: float,
) -> LatencyContext:
    arrived_s = context.request.arrived_s
    latency = LatencyContext(
        elapsed_s=now_s - arrived_s,
        target_s=context.route.latency_target_s,
        delayed_per_s=waiting,
        delay_weight=gateway.delay_cost(context.service.name).weight,
    )
    if not gateway.settings.overload_control:
        return latency
    return evolve(
        latency,
        delayed_per_s=max(waiting, queues.mean_delayed_requests),
        deadline_s=context.deadline_s - arrived_s,
        delayed_target_s=gateway.overload(context.service.name).usual_target.target_s,
    )


def _model_options(
    gateway: Gateway,
    context: RequestContext,
    models: tuple[str, ...],
    wait_s: float,
    now_s: float,
) -> list[ModelOption]:
    prompt = context.request.hints.prompt
    uncached = 0.0
    if prompt is not None:
        own_tokens = prompt.parts[-1][1] if prompt.parts else prompt.input_tokens
        shared_tokens = max(0, prompt.input_tokens - own_tokens)
        uncached = own_tokens + UNCACHED_SHARE * shared_tokens
    value = _response_value(gateway, context.service)
    options = []
    prefill_s = 0.0
    stream_s = 0.0
    if gateway.settings.overload_control:
        streams = gateway.overload(context.service.name).streams
        stream_s = streams.expected_s(context.route.name, now_s)
    for name in models:
        prefill = gateway.prefill_latency(context.service.name, name)
        # A larger model is never faster, whatever the last few measurements say.
        prefill_s = max(prefill_s, prefill.predict_s(uncached))
        options.append(
            ModelOption(
                name=name,
                is_largest=name == context.route.model_sizes[-1],
                price=context.service.model_costs.get(name, 0.0) / value,
                first_chunk_s=wait_s + prefill_s,
                work_s=prefill_s,
                stream_s=stream_s,
            )
        )
    return options
