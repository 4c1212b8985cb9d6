"""From flags, environment variables and defaults to checked settings."""

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
# Joins the words of an argument that takes many: no word of a command holds it.
WORD_SEPARATOR = "\0"


def _parse_versions(text: str) -> tuple[VersionId, ...]:
    """Read ``model@version,model@version``."""
    versions = []
    for part in filter(None, (p.strip() for p in text.split(LIST_SEPARATOR))):
        version = parse_version_id(part)
        if version is None:
            raise ValueError(f"{part!r} is not written model@version")
        versions.append(version)
    return tuple(versions)


def _make_parser(absl_parser: Any, expected: str) -> Callable[[str], Any]:
    """Make a parser whose message names what was expected."""

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

    A flag wins over its environment variable, that over the default. An
    environment variable that is empty counts as not set.
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
    """Collect the text of each setting, how its user wrote it, and faults."""
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
    """Make a registry of its own, so that commands share no global flags.

    Values are taken as text here: absl stops at the first wrong value, and the
    person at the keyboard wants to see all of them.
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
    """Lets ``--json`` and ``--nojson`` stand alone, and checks nothing."""

    def parse(self, argument: Any) -> Any:
        """Keep the text; it is checked with all the others."""
        return str(argument)


def _is_flag(word: str) -> bool:
    """Tell a flag from an argument; a hyphen alone is standard input."""
    return word.startswith("-") and word != STANDARD_INPUT


def _parse_texts(
    command: Command, texts: dict[str, str], sources: dict[str, str]
) -> tuple[dict[str, Any], list[str]]:
    """Turn each text into the type of its settings field."""
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
    """Name each setting that has neither a value nor a default."""
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
    """Tell whether a settings field has no default."""
    return settings_field.default is NOTHING


def _with_source(fault: str, sources: dict[str, str]) -> str:
    """Begin a fault with the word that the person wrote."""
    name, _, rest = fault.partition(" ")
    return f"{sources.get(name, name)} {rest}"


def _unknown_flag_fault(command: Command, word: str) -> str:
    """Name a flag that the command does not have, and the nearest that it has."""
    name = word.lstrip("-").partition("=")[0]
    known = [flag.name for flag in command.flags]
    close = get_close_matches(name.replace("-", "_"), known, n=1)
    hint = f"; did you mean --{close[0]}?" if close else ""
    return f"unknown flag --{name}{hint}"


def flag_default(command: Command, flag: Flag) -> str:
    """Show a flag's default for help: required, empty, or its value."""
    default = fields_dict(command.settings)[flag.name].default
    if default is NOTHING:
        return "required"
    if default == "" or default is None:
        return "empty"
    return str(default).lower() if isinstance(default, bool) else str(default)
