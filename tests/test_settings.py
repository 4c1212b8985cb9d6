"""Tests of settings read from flags and environment variables."""

from pathlib import Path

import pytest

from acaciacove.cli.definition import COMMANDS, ENTRY, SIDECAR, STATUS
from acaciacove.cli.read_settings import read_settings
from acaciacove.errors import InvalidSettingsError
from acaciacove.fleet.version_id import VersionId
from acaciacove.settings.entry_settings import EntrySettings

EXAMPLES = Path(__file__).parent.parent / "examples"
ENTRY_ARGS = [
    "--name=entry-1",
    "--region=south",
    "--availability_zone=ozark",
    "--host=127.0.0.1",
    "--http_port=8080",
    "--peer_port=8081",
    "--log_url=http://127.0.0.1:7000",
    "--instance_list_url=http://127.0.0.1:7001",
]


def faults_of(command, args, env=None):
    with pytest.raises(InvalidSettingsError) as raised:
        read_settings(command, args, env or {})
    return raised.value.faults


def test_flags_override_environment_variables_and_defaults():
    env = {"ACACIACOVE_SEED": "7", "ACACIACOVE_SUBSET_SIZE": "9"}
    read = read_settings(ENTRY, [*ENTRY_ARGS, "--seed=8"], env)
    assert (read.seed, read.subset_size, read.retry_share) == (8, 9, 0.1)


def test_empty_environment_variable_counts_as_unset():
    assert read_settings(ENTRY, ENTRY_ARGS, {"ACACIACOVE_SEED": ""}).seed == 0


def test_all_faults_are_listed_under_their_flag_or_variable():
    # If only the first fault were reported, an operator would have to correct one
    # setting and restart the daemon to see the next, on each of a dozen instances.
    args = [
        *ENTRY_ARGS[:-3],
        "--http_port=x",
        "-x",
        "--host=localhost",
        "--log_ulr=http://a",
        "stray",
    ]
    env = {"ACACIACOVE_RETRY_SHARE": "1.5", "ACACIACOVE_SESSION_SECRET": "short"}
    faults = "\n".join(faults_of(ENTRY, args, env))
    for expected in (
        "unknown flag --log_ulr; did you mean --log_url?",
        "unknown flag --x",
        "unexpected argument 'stray'",
        "--http_port must be a whole number, not 'x'",
        "--host must be an IP number",
        "--peer_port or ACACIACOVE_PEER_PORT must be given",
        "ACACIACOVE_RETRY_SHARE must be from 0 to 1, not 1.5",
        "ACACIACOVE_SESSION_SECRET must have at least 16 characters",
    ):
        assert expected in faults
    assert "short" not in faults


def test_invalid_boolean_or_missing_value_does_not_hide_other_faults():
    faults = faults_of(STATUS, ["--json=maybe", "--timeout_s=0"])
    assert "--json must be true or false, not 'maybe'" in faults
    assert "--timeout_s must be above 0, not 0.0" in faults
    faults = faults_of(STATUS, ["--timeout_s=0", "--log_url"])
    assert any("--log_url" in fault for fault in faults)
    assert "--timeout_s must be above 0, not 0.0" in faults


@pytest.mark.parametrize(("word", "value"), [("--json", True), ("--nojson", False)])
def test_a_boolean_flag_needs_no_value(word, value):
    urls = ["--log_url=http://a", "--instance_list_url=http://b"]
    assert read_settings(STATUS, [word, *urls], {"ACACIACOVE_JSON": "1"}).json is value


@pytest.mark.parametrize("deployment", ["swimhole", "souk"])
@pytest.mark.parametrize("command", [ENTRY, SIDECAR], ids=lambda c: c.name)
def test_the_example_settings_have_no_faults(deployment, command):
    file = EXAMPLES / f"{deployment}-{command.name}.env"
    lines = [line for line in file.read_text().splitlines() if "=" in line]
    env = dict(line.split("=", 1) for line in lines if not line.startswith("#"))
    known = {flag.variable for flag in command.flags}
    assert set(env) <= known
    assert read_settings(command, [], env).host


def test_two_listeners_on_one_port_are_refused():
    faults = faults_of(ENTRY, [*ENTRY_ARGS, "--peer_port=8080"])
    assert faults == ["http_port and peer_port must differ, both are 8080"]


def test_settings_constructed_directly_are_checked():
    with pytest.raises(InvalidSettingsError) as raised:
        EntrySettings("", "r", "z", "host", 1, 2, "log", "")
    assert len(raised.value.faults) == 3


def test_sidecar_versions_are_a_comma_separated_list():
    args = [*ENTRY_ARGS, "--endpoint_url=http://127.0.0.1:9000"]
    read = read_settings(SIDECAR, [*args, "--versions=guide@1, guide@2"], {})
    assert read.versions == (VersionId("guide", "1"), VersionId("guide", "2"))
    assert faults_of(SIDECAR, [*args, "--versions=guide"]) == [
        "--versions 'guide' is not written model@version"
    ]


def test_repr_of_settings_omits_the_secret():
    args = [*ENTRY_ARGS, "--session_secret=0123456789abcdef"]
    assert "0123456789abcdef" not in repr(read_settings(ENTRY, args, {}))


def test_every_flag_and_argument_names_a_setting_and_has_help():
    from attrs import fields_dict

    for command in COMMANDS:
        declared = [*command.arguments, *command.flags]
        assert {d.name for d in declared} == set(fields_dict(command.settings))
        assert all(len(d.help) > 20 for d in declared)
