"""The price of a request to another zone, from its setting to the choice."""

import pytest
from attrs import evolve

from acaciacove.errors import InvalidSettingsError
from acaciacove.gateway.choose_endpoint import choose_endpoint
from acaciacove.gateway.daemon import reload
from acaciacove.platform.node_file import decode_node_file
from acaciacove.platform.node_file_writer import write_node_file
from acaciacove.standins.gateway_fleet import gateway_settings
from tests.gateway_world import run_fleet
from tests.test_gateway_heavy_load import make_context

VARIABLE = "ACACIACOVE_OTHER_ZONE_MS"
FIELD = "acaciacove.otherZoneMs"
TEXT = write_node_file(gateway_settings("gateway-0", "127.0.0.1", "a"))
BARE = "".join(x for x in TEXT.splitlines(True) if not x.startswith(FIELD))


def test_the_variable_overrides_the_file_and_the_default_stands():
    assert decode_node_file(BARE).other_zone_ms == 200.0
    assert decode_node_file(BARE, {VARIABLE: ""}).other_zone_ms == 200.0
    text = f"{BARE}{FIELD}=40\n"
    assert decode_node_file(text).other_zone_ms == 40.0
    assert decode_node_file(text, {VARIABLE: "0"}).other_zone_ms == 0.0


@pytest.mark.parametrize("value", ["x", "-1", "nan", "inf"])
def test_a_bad_price_is_a_typed_error(value):
    with pytest.raises(InvalidSettingsError, match="(?i)other_zone_ms"):
        decode_node_file(BARE, {VARIABLE: value})


def test_a_reloaded_price_decides_between_a_queue_and_another_zone():
    """Guards against a price that is read but not used, or only after a restart."""

    async def scenario(fleet):
        running = fleet.gateways["gateway-0"]
        gateway = running.gateway
        busy = gateway.states.of(gateway.view.endpoints["model-0"])
        busy.load.in_flight = 10

        def chosen_at(other_zone_ms):
            settings = evolve(gateway.settings, other_zone_ms=other_zone_ms)
            reload(running, lambda: settings, signalled=False)
            context = make_context(gateway, 1, 0.0)
            return choose_endpoint(gateway, context, 0.0).endpoint.instance

        assert chosen_at(1_000.0) == "model-0"
        assert chosen_at(0.0) == "model-1"

    run_fleet(scenario)
