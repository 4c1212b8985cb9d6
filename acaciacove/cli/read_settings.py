"""Reads settings from flags, environment variables and defaults."""

from collections.abc import Callable, Mapping
from difflib import get_close_matches
from typing import Any

from absl.flags import (
    ArgumentParser,
    BooleanParser,
    DEFINE_flag,
    FlagValues,
    FloatParser,
    IntegerParser,
)
from absl.flags import Error as FlagError
from absl.flags import Flag as AbslFlag
from attrs import NOTHING, fields_dict

from acaciacove.cli.command import Command
from acaciacove.cli.flag import Flag
from acaciacove.cli.note_file import STANDARD_INPUT
from acaciacove.errors import InvalidSettingsError
from acaciacove.fleet.version_id import VersionId, parse_version_id
from acaciacove.settings.checked_settings import CheckedSettings, field_faults

LIST_SEPARATOR = ","
# Joins the words of a variadic argument; a command-line word cannot contain it.
WORD_SEPARATOR = "\0"


def _parse_versions(text: str) -> tuple[VersionId, ...]:
    """Parse ``model@version,model@version``."""
    versions = []
    for part in filter(None, (p.strip() for p in text.split(LIST_SEPARATOR))):
        version = parse_version_id(part)
        if version is None:
            raise ValueError(f"{part!r} is not written model@version")
        versions.append(version)
    return tuple(versions)


def _make_parser(absl_parser: Any, expected: str) -> Callable[[str], Any]:
    """Return a parser whose error text names the expected type."""

    def parse(text: str) -> Any:
        try:
            return absl_parser.parse(text)
        except (ValueError, TypeError) as error:
            raise ValueError(f"must be {expected}, not {text!r}") from error

    return parse


_PARSERS: dict[Any, Callable[[str], Any]] = {
    str: str,
    bool: _make_parser(BooleanParser(), "true or false"),
    int: _make_parser(IntegerParser(), "a whole number"),
    float: _make_parser(FloatParser(), "a number"),
    int | None: _make_parser(IntegerParser(), "a whole number"),
    float | None: _make_parser(FloatParser(), "a number"),
    tuple[VersionId, ...]: _parse_versions,
    tuple[str, ...]: lambda text: tuple(text.split(WORD_SEPARATOR)),
}


def read_settings(
    command: Command, args: list[str], env: Mapping[str, str]
) -> CheckedSettings:
    """Read and check all settings; raises InvalidSettingsError with every fault.

    A flag takes precedence over its environment variable, which takes precedence
    over the default. An empty environment variable counts as not set.
    """
    texts, sources, faults = _collect_texts(command, args, env)
    values, parse_faults = _parse_texts(command, texts, sources)
    faults += parse_faults
    faults += _missing_settings(command, texts)
    faults += [_with_source(f, sources) for f in field_faults(command.settings, values)]
    if faults:
        raise InvalidSettingsError(faults)
    return command.settings(**values)


def _collect_texts(
    command: Command, args: list[str], env: Mapping[str, str]
) -> tuple[dict[str, str], dict[str, str], list[str]]:
    """Return the text of each given setting, the name it was given by, and faults."""
    flag_values = _define_flags(command)
    faults: list[str] = []
    rest: list[str] = []
    try:
        rest = flag_values([command.name, *args], known_only=True)[1:]
    except FlagError as error:
        faults.append(str(error))
    faults += [_unknown_flag_fault(command, word) for word in rest if _is_flag(word)]
    words = [word for word in rest if not _is_flag(word)]
    texts: dict[str, str] = {}
    sources: dict[str, str] = {}
    for argument in command.arguments:
        if not words:
            break
        count = len(words) if argument.variadic else 1
        texts[argument.name] = WORD_SEPARATOR.join(words[:count])
        sources[argument.name] = argument.metavar
        words = words[count:]
    faults += [f"unexpected argument {word!r}" for word in words]
    for flag in command.flags:
        if flag_values[flag.name].present:
            texts[flag.name] = str(flag_values[flag.name].value)
            sources[flag.name] = f"--{flag.name}"
        elif env.get(flag.variable):
            texts[flag.name] = env[flag.variable]
            sources[flag.name] = flag.variable
    return texts, sources, faults


def _define_flags(command: Command) -> FlagValues:
    """Return a separate flag registry, so that commands share no global flags.

    Values are read as text here and parsed later: absl stops at the first invalid
    value, but the user should see all faults at once.
    """
    flag_values = FlagValues()
    flag_values.set_gnu_getopt(True)
    settings_fields = fields_dict(command.settings)
    for flag in command.flags:
        is_boolean = settings_fields[flag.name].type is bool
        parser = _UncheckedBooleanParser() if is_boolean else ArgumentParser[str]()
        defined = AbslFlag(
            parser, None, flag.name, None, flag.help, flag.short, boolean=is_boolean
        )
        DEFINE_flag(defined, flag_values=flag_values)
    return flag_values


class _UncheckedBooleanParser(BooleanParser):
    """Accepts ``--json`` and ``--nojson`` without a value; validates nothing."""

    def parse(self, argument: Any) -> Any:
        """Return the text unparsed; it is checked later with all the others."""
        return str(argument)


def _is_flag(word: str) -> bool:
    """Return whether a word is a flag; a single hyphen is standard input."""
    return word.startswith("-") and word != STANDARD_INPUT


def _parse_texts(
    command: Command, texts: dict[str, str], sources: dict[str, str]
) -> tuple[dict[str, Any], list[str]]:
    """Convert each text to the type of its settings field."""
    values: dict[str, Any] = {}
    faults = []
    settings_fields = fields_dict(command.settings)
    for name, text in texts.items():
        field_type = settings_fields[name].type
        try:
            values[name] = _PARSERS[field_type](text)
        except (ValueError, TypeError) as error:
            faults.append(f"{sources[name]} {error}")
    return values, faults


def _missing_settings(command: Command, texts: dict[str, str]) -> list[str]:
    """Return a fault for each setting without a value and a default."""
    faults = []
    settings_fields = fields_dict(command.settings)
    for argument in command.arguments:
        if is_required(settings_fields[argument.name]) and argument.name not in texts:
            faults.append(f"{argument.metavar} is missing: {argument.help}")
    for flag in command.flags:
        if is_required(settings_fields[flag.name]) and flag.name not in texts:
            faults.append(f"--{flag.name} or {flag.variable} must be given")
    return faults


def is_required(settings_field: Any) -> bool:
    """Return whether a settings field has no default."""
    return settings_field.default is NOTHING


def _with_source(fault: str, sources: dict[str, str]) -> str:
    """Replace the field name in a fault by the name that the user typed."""
    name, _, rest = fault.partition(" ")
    return f"{sources.get(name, name)} {rest}"


def _unknown_flag_fault(command: Command, word: str) -> str:
    """Return an error text for an unknown flag that suggests the closest one."""
    name = word.lstrip("-").partition("=")[0]
    known = [flag.name for flag in command.flags]
    close = get_close_matches(name.replace("-", "_"), known, n=1)
    hint = f"; did you mean --{close[0]}?" if close else ""
    return f"unknown flag --{name}{hint}"


def flag_default(command: Command, flag: Flag) -> str:
    """Return a flag's default for help: ``required``, ``empty`` or its value."""
    default = fields_dict(command.settings)[flag.name].default
    if default is NOTHING:
        return "required"
    if default == "" or default is None:
        return "empty"
    return str(default).lower() if isinstance(default, bool) else str(default)
