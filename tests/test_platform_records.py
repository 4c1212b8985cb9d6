"""Names and formats of the users' platform: encoding, decoding and invalid input."""

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.errors import InvalidSettingsError, MalformedMessageError
from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.catalogue.organisation import Organisation
from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.catalogue.rollout_status import RolloutStatus
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.catalogue.service_share import ServiceShare
from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.gateway.http.forward_hints import ForwardHints
from acaciacove.gateway.http.load_report import LoadReport
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.operator_decision import RolloutSpec, ZoneOut
from acaciacove.gateway.rollout.rollout_state import RolloutState
from acaciacove.platform.header_fields import (
    forward_headers,
    read_hints,
    read_response,
)
from acaciacove.platform.node_file import decode_node_file
from acaciacove.platform.record_writer import (
    write_catalogue,
    write_endpoint,
    write_rollout,
)
from acaciacove.platform.records import (
    read_decision,
    read_endpoint,
    read_outcome,
    removed_rollout,
    removed_zone,
    write_outcome,
)

NAMES = st.text("abcdefghij0123", min_size=1, max_size=8)
WHOLE_MS = st.integers(1, 60_000).map(lambda ms: ms / 1000)


@st.composite
def routes(draw):
    shares = st.lists(
        st.builds(ServiceShare, NAMES, st.integers(1, 99).map(float)), min_size=1
    )
    return Route(
        name=draw(NAMES),
        host=draw(NAMES),
        path_prefix=f"/{draw(NAMES)}/",
        shares=tuple(draw(shares)),
        repetition=draw(st.sampled_from(Repetition)),
        timeout_s=draw(WHOLE_MS),
        latency_target_s=draw(WHOLE_MS),
        max_attempts=draw(st.integers(1, 5)),
        priority=draw(st.integers(0, 9)),
        anonymous=draw(st.booleans()),
        session_affinity=draw(st.booleans()),
        resumable=draw(st.booleans()),
        model_sizes=tuple(draw(st.lists(NAMES, max_size=3))),
        allowed_regions=frozenset(draw(st.lists(NAMES, max_size=2))),
    )


@given(st.lists(routes(), max_size=4), st.dictionaries(NAMES, NAMES, max_size=4))
@settings(max_examples=60, derandomize=True)
def test_catalogue_round_trip(listed, keys):
    written = Catalogue(
        revision=7,
        version=3,
        routes=tuple(listed),
        services={
            "s": Service("s", 9, 3.0, 10.0, 64, {"m": 0.5}),
            "t": Service("t", 1),
        },
        organisations={key: Organisation(name, 2) for key, name in keys.items()},
        has_organisations=True,
        limits=CallerLimits(100, 200, 1.5, 2.5),
    )
    read = read_decision(LogRecord("config", write_catalogue(written), 7))
    for name in ("revision", "version", "routes", "services", "limits"):
        assert getattr(read, name) == getattr(written, name)
    assert read.organisations == written.organisations


def test_catalogue_without_organisations_is_open_to_all():
    written = Catalogue(0, 1, (), {}, {}, False, CallerLimits())
    read = read_decision(LogRecord("config", write_catalogue(written), 0))
    assert not read.has_organisations


def test_unknown_route_kind_is_not_repeatable():
    value = (
        b'{"version":1,"services":[],"routes":[{"name":"r","host":"h","pathPrefix":"/",'
        b'"kind":"something new","service":"s"}]}'
    )
    read = read_decision(LogRecord("config", value, 0))
    assert not read.routes[0].may_repeat


REPORT = EndpointReport(
    instance="i-1",
    started_ms=17,
    service="s",
    host="10.0.0.1",
    port=80,
    availability_zone="z",
    version="v1",
    slots=4,
    draining=True,
    cold_remaining_s=1.5,
)


def test_heartbeat_round_trip():
    assert read_endpoint(LogRecord("i-1", write_endpoint(REPORT), 0)) == REPORT


@given(st.binary(max_size=200))
@settings(max_examples=200, derandomize=True)
def test_undecodable_heartbeat_raises_malformed_message(value):
    with pytest.raises(MalformedMessageError):
        read_endpoint(LogRecord("i-1", value, 0))


@given(
    st.sampled_from(["service", "address", "zone", "version", "state", "slots"]),
    st.one_of(
        st.none(),
        st.integers(-(10**9), 10**9),
        st.lists(st.integers(0, 9)),
        st.just(""),
    ),
)
@settings(max_examples=80, derandomize=True)
def test_heartbeat_fields_of_a_wrong_type_are_refused(field, value):
    import orjson

    document = orjson.loads(write_endpoint(REPORT))
    if field == "slots" and isinstance(value, int):
        return
    document[field] = value
    with pytest.raises(MalformedMessageError):
        read_endpoint(LogRecord("i-1", orjson.dumps(document), 0))


def test_rollout_and_zone_records_are_decoded():
    wish = RolloutSpec("s", "v2", 12.0)
    assert read_decision(LogRecord("rollout/s", write_rollout(wish), 0)) == wish
    assert read_decision(LogRecord("evacuate/ozark", b"{}", 0)) == ZoneOut("ozark")
    assert read_decision(LogRecord("other", b"{}", 0)) is None
    assert removed_zone("evacuate/ozark") == "ozark"
    assert removed_rollout("rollout/s") == "s"


@pytest.mark.parametrize("state", RolloutState)
def test_outcome_round_trip(state):
    status = RolloutStatus("s", "v2", state, 5)
    key, value = write_outcome(status)
    assert read_outcome(LogRecord(key, value, 5)) == status


def test_hints_of_a_model_request():
    hints = read_hints(
        (
            (b"acaciacove-attempt-id", b"r-1"),
            (b"authorization", b"Bearer secret"),
            (b"acaciacove-deadline-ms", b"2500"),
            (b"acaciacove-model", b"*"),
            (b"acaciacove-token-usage", b"1460,80"),
            (b"acaciacove-prompt-prefix", b"5c:800, 91:410,e4:250"),
            (b"session", b"s-1"),
        )
    )
    assert hints.request_id == "r-1" and hints.api_key == "secret"
    assert hints.deadline_s == 2.5 and hints.model is None and hints.session == "s-1"
    assert hints.prompt.parts == (("5c", 800), ("91", 410), ("e4", 250))
    assert hints.prompt.shared_key == "91"
    assert (hints.prompt.input_tokens, hints.prompt.max_output_tokens) == (1460, 80)


@pytest.mark.parametrize(
    "name", [b"acaciacove-deadline-ms", b"acaciacove-token-usage", b"authorization"]
)
@pytest.mark.parametrize("value", [b"", b"x", b"1,x", b"nan", b"\xff", b"-"])
def test_unreadable_hint_fields_count_as_absent(name, value):
    hints = read_hints(((name, value),))
    assert hints.api_key is None and hints.prompt is None
    assert hints.deadline_s is None


def test_forwarded_fields_name_the_endpoint_and_the_remaining_time():
    hints = ForwardHints("i-1", 1.2345, "ozark", "small", 3, "7")
    sent = dict(
        forward_headers(
            (
                (b"host", b"h"),
                (b"acaciacove-model", b"*"),
                (b"last-event-id", b"2"),
                (b"connection", b"x-hop"),
                (b"x-hop", b"1"),
                (b"acaciacove-deadline-ms", b"9999"),
            ),
            hints,
        )
    )
    assert sent[b"acaciacove-deadline-ms"] == b"1234"
    assert sent[b"acaciacove-expected-instance"] == b"i-1"
    assert sent[b"acaciacove-tenant"] == b"ozark"
    assert sent[b"acaciacove-model"] == b"small"
    assert sent[b"acaciacove-request-priority"] == b"3"
    assert sent[b"last-event-id"] == b"7"
    assert b"x-hop" not in sent and b"connection" not in sent


def test_response_head_is_decoded():
    head = read_response(
        200,
        b"OK",
        (
            (b"acaciacove-attempt-id", b"r-1"),
            (b"acaciacove-response-signature", b"s"),
            (b"acaciacove-replica-load", b"3,1,8"),
            (b"acaciacove-confidence", b"61"),
            (b"keep-alive", b"timeout=4"),
            (b"connection", b"keep-alive"),
        ),
    )
    assert head.has_receipt and not head.not_run
    assert head.load == LoadReport(3, 1, 8, None) and head.unreadable == ()
    assert head.confidence == 61 and head.idle_timeout_s == 4
    assert {n for n, _ in head.headers}.isdisjoint({b"keep-alive", b"connection"})
    assert read_response(421, b"", ()).not_run
    assert read_response(503, b"", ((b"acaciacove-not-executed", b"1"),)).not_run
    assert not read_response(503, b"", ()).not_run


SETTINGS = """nodeName=edge-1
zone=ozark
region=dixie
ipAddress=10.1.0.40
zones.ozark=dixie
listenAddresses.frontend=10.1.0.40:8227
listenAddresses.readiness=10.1.0.40:8220
internalPortRange=7340,7355
seedNodes=10.1.0.40:8229,10.2.0.29:8229
platform.address=10.200.1.7:8223
bounds.revocationMs=5000
bounds.revocationStrict=true
bounds.somethingNew=1
"""


def test_node_file_is_decoded():
    read = decode_node_file(SETTINGS)
    assert read.name == "edge-1" and read.peer_port == 7340
    assert read.revocation_s == 5.0 and read.region_of_zone == {"ozark": "dixie"}


def test_memory_limit_of_a_node_file_is_in_megabytes():
    assert decode_node_file(SETTINGS).memory_limit_bytes == 0
    read = decode_node_file(SETTINGS + "limits.memoryLimitMb=160\n")
    assert read.memory_limit_bytes == 160_000_000
    for text in ("-1", "inf", "nan", "much"):
        with pytest.raises(InvalidSettingsError):
            decode_node_file(SETTINGS + f"limits.memoryLimitMb={text}\n")


def test_descriptor_limit_of_a_node_file_is_a_number():
    """Guards against a start that fails because of how a number is written."""
    assert decode_node_file(SETTINGS).descriptor_limit == 0
    for text in ("4100", "4100.0"):
        read = decode_node_file(SETTINGS + f"limits.fileDescriptors={text}\n")
        assert read.descriptor_limit == 4100
    for text in ("-1", "inf", "nan", "many"):
        with pytest.raises(InvalidSettingsError):
            decode_node_file(SETTINGS + f"limits.fileDescriptors={text}\n")


def test_all_faults_of_a_node_file_are_reported():
    text = SETTINGS.replace("nodeName=edge-1\n", "").replace("7340,7355", "many")
    text = text.replace("revocationStrict=true", "revocationStrict=perhaps")
    with pytest.raises(InvalidSettingsError) as raised:
        decode_node_file(text)
    assert len(raised.value.faults) == 3


def test_invalid_settings_values_are_refused():
    with pytest.raises(InvalidSettingsError):
        decode_node_file(SETTINGS.replace("10.1.0.40:8227", "edge.example:80"))
    base = decode_node_file(SETTINGS)
    with pytest.raises(InvalidSettingsError):
        evolve(base, exposure_share=1.5)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("front_address", "10.0.0.1:²"),
        ("front_address", "10.0.0.1:٣"),
        ("retry_extra", float("inf")),
        ("retry_extra", float("nan")),
        ("drain_s", float("inf")),
    ],
)
def test_settings_that_are_no_numbers_are_a_typed_error(name, value):
    """Guards against a setting that ends the start with a foreign exception."""
    with pytest.raises(InvalidSettingsError):
        evolve(decode_node_file(SETTINGS), **{name: value})
