"""Records, fields of responses and messages that another program has written."""

import asyncio

import h11
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.choice.stated_limit import StatedLimit
from acaciacove.gateway.http.endpoint_connection import connect
from acaciacove.gateway.http.errors import ConnectFailedError
from acaciacove.gateway.http.forward_hints import ForwardHints
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.peers.member_record import read_member
from acaciacove.gateway.quarantine.request_record import decode_record
from acaciacove.platform import names
from acaciacove.platform.header_fields import forward_headers, read_hints, read_response
from acaciacove.platform.record_writer import write_endpoint
from acaciacove.platform.records import read_decision, read_endpoint, read_outcome
from acaciacove.settings.gateway_settings import is_ip_and_port
from acaciacove.standins.gateway_fleet import ENDPOINTS
from tests.gateway_world import call, report, run_fleet
from tests.virtual import run_virtual

ENTRY = orjson.loads(write_endpoint(report("i-1", "app", 1)))
# More digits than Python converts to a whole number.
MANY_DIGITS = "7" * 5_000
UNUSABLE_FIELDS = [
    ("born", MANY_DIGITS),
    ("born", "17"),
    ("born", True),
    ("born", -1),
    ("born", 1.5),
    ("born", None),
    ("born", 2**60),
    ("slots", True),
    ("slots", -1),
    ("slots", 10**12),
    ("slots", "6"),
    ("sequence", True),
    ("sequence", -1),
    ("sequence", MANY_DIGITS),
    ("coldRemainingMs", True),
    ("coldRemainingMs", "0"),
    ("address", "10.0.2.1:0"),
    ("address", "10.0.2.1:-1"),
    ("address", "10.0.2.1:65536"),
    ("address", "10.0.2.1:" + MANY_DIGITS),
    ("address", "10.0.2.1:٣"),
    ("address", "10.0.2.1"),
    ("address", "host.example:80"),
    ("address", "10.0.2.1\x00:80"),
    ("address", 80),
    ("service", "app\r\nHost: other"),
    ("service", "s" * 300),
    ("zone", ["a"]),
    ("version", " "),
    ("version", {}),
    ("state", "gone"),
    ("state", ["ready"]),
]

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=12)
    | st.sampled_from(["ready", "10.0.0.1:80", MANY_DIGITS, "10.0.0.1:70000"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=8,
)


def mutated(document):
    """Return documents in which some fields are missing or hold anything."""
    changes = st.dictionaries(st.sampled_from(sorted(document)), JSON, max_size=4)
    dropped = st.sets(st.sampled_from(sorted(document)), max_size=2)
    return st.builds(
        lambda changed, gone: {
            name: value
            for name, value in (document | changed).items()
            if name not in gone
        },
        changes,
        dropped,
    )


@pytest.mark.parametrize(("name", "value"), UNUSABLE_FIELDS)
def test_an_entry_with_an_unusable_field_names_no_endpoint(name, value):
    """Guards against an entry of another writer that is used, or that ends a task."""
    record = LogRecord("i-1", orjson.dumps(ENTRY | {name: value}), 0)
    with pytest.raises(MalformedMessageError) as raised:
        read_endpoint(record)
    assert len(str(raised.value)) < 600


@pytest.mark.parametrize("name", sorted(ENTRY.keys() - {"born"}))
def test_an_entry_without_a_field_names_no_endpoint(name):
    """Guards against requests to a program that is no endpoint and answers them with
    404: its entry lacks what an endpoint says of itself.
    """
    document = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(MalformedMessageError) as raised:
        read_endpoint(LogRecord("i-1", orjson.dumps(document), 0))
    assert name in str(raised.value)


@pytest.mark.parametrize("key", ["", "i\r\nX: 1", " i-1", "ı-1", "i" * 300])
def test_an_entry_whose_key_is_no_header_value_names_no_endpoint(key):
    """Guards against a name that cannot be sent as the expected instance."""
    with pytest.raises(MalformedMessageError):
        read_endpoint(LogRecord(key, orjson.dumps(ENTRY), 0))


@pytest.mark.parametrize(("name", "value"), UNUSABLE_FIELDS)
def test_gateways_go_on_after_an_entry_of_another_writer(name, value):
    """Guards against one entry that ends every gateway, at its arrival and after each
    restart, since the newest record of each key is retained.
    """

    async def scenario(fleet):
        entry = orjson.dumps(ENTRY | {name: value})
        fleet.store.append(ENDPOINTS, "m-1", entry)
        await asyncio.sleep(2.0)
        answers = [await call("/book/1", f"r-{number}") for number in range(4)]
        (running,) = fleet.gateways.values()
        lines = [x for x in running.log.lines if x["event"] == "record_unreadable"]
        assert [line["key"] for line in lines] == ["m-1"]
        assert "m-1" not in running.gateway.view.endpoints
        return {answer.status for answer in answers}

    assert run_fleet(scenario, apps=2, models=0) == {200}


@given(mutated(ENTRY), st.text(max_size=8))
@settings(max_examples=300, derandomize=True, deadline=None)
def test_an_accepted_entry_is_usable_wherever_it_is_used(document, key):
    """Guards against a value that passes the decoder and raises where it is used."""
    try:
        read = read_endpoint(LogRecord(key, orjson.dumps(document), 0))
    except MalformedMessageError:
        return

    async def use():
        with pytest.raises(ConnectFailedError):
            await connect(read.host, read.port, 0.01)

    assert isinstance(read.incarnation, str) and read.started_ms >= 0
    assert (read.started_ms, read.sequence) >= (0, 0) and read.slots >= 0
    assert read.cold_remaining_s + 1.0 > 0.0
    run_virtual(use)
    hints = ForwardHints(read.instance, 1.0, None, None, None, None)
    sent = forward_headers(((b"host", b"h"),), hints)
    h11.Request(method="GET", target="/", headers=sent)


CATALOGUE = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "pathPrefix": "/",
            "kind": "idempotent",
            "service": "s",
            "maxAttempts": 2,
            "timeoutMs": 100,
        }
    ],
    "services": [{"name": "s", "connectionLimit": 3, "coldPerS": 1.0}],
    "limits": {"maxHeaderBytes": 100},
    "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1}],
}
MEMBER = {"host": "10.0.0.1", "port": 7340, "availability_zone": "a"}
ROLLOUT = {"service": "s", "target": "v2", "durationS": 12}
OUTCOME = {"service": "s", "target": "v2", "state": "completed"}
VERDICT = {"quarantined": True, "until_s": 1e9}
DECODERS = [
    (lambda value: read_decision(LogRecord("config", value, 0)), CATALOGUE),
    (lambda value: read_decision(LogRecord("rollout/s", value, 0)), ROLLOUT),
    (lambda value: read_outcome(LogRecord("rollout/s", value, 0)), OUTCOME),
    (lambda value: read_member("edge-1", value), MEMBER),
    (lambda value: decode_record("00000000000000ff", value), VERDICT),
]


@pytest.mark.parametrize(("decode", "document"), DECODERS)
def test_decoders_of_records_raise_nothing_but_their_own_error(decode, document):
    """Guards against a record that ends the task which follows the log."""

    @given(mutated(document).map(orjson.dumps) | st.binary(max_size=40))
    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    def check(value):
        try:
            decode(value)
        except MalformedMessageError:
            return

    check()


@pytest.mark.parametrize("port", [0, -1, 65_536, True, "80", 80.5])
def test_a_member_with_an_unusable_port_is_unreadable(port):
    """Guards against an address to which no message can be sent: the task that sends
    reports would end with the process.
    """
    with pytest.raises(MalformedMessageError):
        read_member("edge-1", orjson.dumps(MEMBER | {"port": port}))


@pytest.mark.parametrize("address", [f"10.0.0.1:{MANY_DIGITS}", "10.0.0.1:", "x:1"])
def test_a_peers_unusable_address_is_a_fault_and_no_exception(address):
    """Guards against a report whose port has too many digits to be converted."""
    fault = is_ip_and_port(address)
    assert fault is not None and len(fault) < 200


NUMBERS = st.sampled_from(
    ["1e308", "1e999", "-1", "nan", "", "1_0", "9" * 400, MANY_DIGITS, "٣", "0x1"]
) | st.text("0123456789.,:e-+ ", max_size=12)


@given(NUMBERS, NUMBERS, NUMBERS, st.sampled_from([200, 421, 503]))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_any_fields_of_a_response_are_usable_or_ignored(rate, load, rest, status):
    """Guards against a response after which each request to its endpoint fails."""
    head = read_response(
        status,
        b"",
        [
            (names.RATE_LIMIT, rate.encode()),
            (names.LOAD, load.encode()),
            (names.RETRY_AFTER, rest.encode()),
            (names.KEEP_ALIVE, f"timeout={rest}".encode()),
            (names.CONFIDENCE, rate.encode()),
        ],
    )
    limit = StatedLimit()
    limit.apply_response(head.rate_limit_per_s, 0.0, 0.0)
    assert limit.per_window >= 0 and limit.window_s > 0.0


@given(NUMBERS, NUMBERS)
@settings(max_examples=200, derandomize=True, deadline=None)
def test_token_counts_of_a_caller_are_bounded(tokens, part):
    """Guards against a count that no calculation with it can hold."""
    hints = read_hints(
        (
            (names.TOKENS, tokens.encode()),
            (names.PROMPT_PARTS, f"5c:{part}".encode()),
            (names.DEADLINE_MS, tokens.encode()),
        )
    )
    if hints.prompt is not None:
        assert 0 <= hints.prompt.input_tokens < 10**9
        assert all(0 <= count < 10**9 for _, count in hints.prompt.parts)
