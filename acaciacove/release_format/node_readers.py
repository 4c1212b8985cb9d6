"""Readers of single YAML values, which collect faults instead of raising.

A reader takes a node, the path of keys to it and the list of faults. It returns
the value; if the value has a fault, it adds the fault to the list and returns
UNREADABLE.
"""

import math
import re
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

from attrs import frozen
from yaml import MappingNode, Node, ScalarNode, SequenceNode

from acaciacove.fleet.call_rule import CallRule
from acaciacove.fleet.version_id import parse_version_id
from acaciacove.release_format.fault_list import FaultList

TAG_PREFIX = "tag:yaml.org,2002:"
NON_TEXT_TAGS = {f"{TAG_PREFIX}null": "nothing", f"{TAG_PREFIX}bool": "a boolean"}
TEXT_TAGS = {f"{TAG_PREFIX}{name}" for name in ("str", "int", "float", "timestamp")}
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
INTEGER_PATTERN = re.compile(r"[-+]?(0|[1-9][0-9]{0,17})")
NUMBER_PATTERN = re.compile(r"[-+]?[0-9]+(\.[0-9]*)?([eE][-+]?[0-9]+)?")
KEY_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,100}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
CALL_PATTERN = re.compile(r"(GET|PUT|POST|PATCH|DELETE) (/\S*)")
CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0b-\x1f\x7f-\x9f]")
MAX_QUOTED_LENGTH = 80
BOOLEANS = {"true": True, "false": False}


class Unreadable(Enum):
    """The type of the sentinel returned for a value with a fault."""

    UNREADABLE = "unreadable"


UNREADABLE = Unreadable.UNREADABLE
Reader = Callable[[Node, str, FaultList], Any]


@frozen
class Key:
    """How the value of a key is read, and whether the key is required."""

    reader: Reader
    required: bool = False


def describe_node(node: Node) -> str:
    """Describe the value of a node for a fault message."""
    if isinstance(node, MappingNode):
        return "a mapping"
    if isinstance(node, SequenceNode):
        return "a list"
    if node.tag in NON_TEXT_TAGS:
        return NON_TEXT_TAGS[node.tag]
    return quote_value(node.value)


def describe_kind(node: Node) -> str:
    """Describe what kind of value a node has, without quoting it."""
    if isinstance(node, ScalarNode) and node.tag not in NON_TEXT_TAGS:
        return "a single value, which is not shown"
    return describe_node(node)


def quote_value(text: str) -> str:
    """Quote text for a message: escapes control characters, cuts long text."""
    quoted = repr(text)
    return (
        quoted
        if len(quoted) <= MAX_QUOTED_LENGTH
        else f"{quoted[:MAX_QUOTED_LENGTH]}..."
    )


def read_text(node: Node, path: str, faults: FaultList) -> Any:
    """Read text; numbers and dates are read as the text that was written."""
    if isinstance(node, ScalarNode) and node.tag in TEXT_TAGS:
        if CONTROL_CHARACTERS.search(node.value):
            # The text is printed on the terminals of other operators, where an
            # escape sequence could hide or forge output.
            faults.add(node, path, "control characters are not taken")
            return UNREADABLE
        return node.value
    hint = "; put it in quotes" if isinstance(node, ScalarNode) else ""
    faults.add(node, path, f"expected text, found {describe_node(node)}{hint}")
    return UNREADABLE


def text_matching(pattern: re.Pattern[str], expected: str) -> Reader:
    """Make a reader for text that matches a pattern."""

    def read_matching(node: Node, path: str, faults: FaultList) -> Any:
        text = read_text(node, path, faults)
        if text is UNREADABLE or pattern.fullmatch(text):
            return text
        faults.add(node, path, f"expected {expected}, found {quote_value(text)}")
        return UNREADABLE

    return read_matching


read_name = text_matching(
    NAME_PATTERN, "a name of letters, digits, dots, underscores and hyphens"
)


def read_digest(node: Node, path: str, faults: FaultList) -> Any:
    """Read a SHA-256 digest.

    The fault message does not quote the value: if an operator pastes the token
    itself, a valid credential would get into terminals and logs.
    """
    if isinstance(node, ScalarNode) and DIGEST_PATTERN.fullmatch(node.value):
        return node.value
    expected = "a SHA-256 digest (64 hexadecimal digits, lower case)"
    faults.add(node, path, f"expected {expected}; the value is not shown")
    return UNREADABLE


def read_version_name(node: Node, path: str, faults: FaultList) -> Any:
    """Read the name of a version, or ``*`` for all versions."""
    if isinstance(node, ScalarNode) and node.value == "*":
        return node.value
    return read_name(node, path, faults)


def read_version_id(node: Node, path: str, faults: FaultList) -> Any:
    """Read ``model@version``."""
    text = read_text(node, path, faults)
    if text is UNREADABLE:
        return UNREADABLE
    version = parse_version_id(text)
    if (
        version
        and NAME_PATTERN.fullmatch(version.model)
        and NAME_PATTERN.fullmatch(version.version)
    ):
        return version
    faults.add(node, path, f"expected model@version, found {quote_value(text)}")
    return UNREADABLE


def read_call(node: Node, path: str, faults: FaultList) -> Any:
    """Read a rule for non-idempotent calls such as ``POST /shuttles``."""
    text = read_text(node, path, faults)
    if text is UNREADABLE:
        return UNREADABLE
    match = CALL_PATTERN.fullmatch(text)
    if match:
        return CallRule(match.group(1), match.group(2))
    faults.add(
        node, path, f"expected a call such as 'POST /path', found {quote_value(text)}"
    )
    return UNREADABLE


def read_boolean(node: Node, path: str, faults: FaultList) -> Any:
    """Read ``true`` or ``false``."""
    if isinstance(node, ScalarNode) and node.tag == f"{TAG_PREFIX}bool":
        value = BOOLEANS.get(node.value.lower())
        if value is not None:
            return value
    faults.add(node, path, f"expected true or false, found {describe_node(node)}")
    return UNREADABLE


def integer(minimum: int) -> Reader:
    """Make a reader for integers that are not below a minimum."""

    def read_integer(node: Node, path: str, faults: FaultList) -> Any:
        text = _unquoted_text(node)
        if (
            text is not None
            and INTEGER_PATTERN.fullmatch(text)
            and int(text) >= minimum
        ):
            return int(text)
        expected = f"a whole number, {minimum} or more"
        faults.add(node, path, f"expected {expected}, found {describe_node(node)}")
        return UNREADABLE

    return read_integer


def number(minimum: float, maximum: float = math.inf, above: bool = False) -> Reader:
    """Make a reader for numbers in a range; ``above`` excludes the minimum."""

    def read_number(node: Node, path: str, faults: FaultList) -> Any:
        text = _unquoted_text(node)
        if text is not None and NUMBER_PATTERN.fullmatch(text):
            value = float(text)
            above_minimum = value > minimum if above else value >= minimum
            if above_minimum and value <= maximum and math.isfinite(value):
                return value
        expected = _describe_range(minimum, maximum, above)
        faults.add(node, path, f"expected {expected}, found {describe_node(node)}")
        return UNREADABLE

    return read_number


def one_of(choices: Mapping[str, Any]) -> Reader:
    """Make a reader for one of a fixed set of words."""

    def read_choice(node: Node, path: str, faults: FaultList) -> Any:
        if isinstance(node, ScalarNode) and node.value in choices:
            return choices[node.value]
        listed = " or ".join(choices)
        faults.add(node, path, f"expected {listed}, found {describe_node(node)}")
        return UNREADABLE

    return read_choice


def list_of(reader: Reader) -> Reader:
    """Make a reader for lists; the result omits elements with a fault."""

    def read_list(node: Node, path: str, faults: FaultList) -> Any:
        if not isinstance(node, SequenceNode):
            faults.add(node, path, f"expected a list, found {describe_kind(node)}")
            return UNREADABLE
        values = []
        for index, item in enumerate(node.value):
            values.append(reader(item, f"{path}[{index}]", faults))
        return tuple(value for value in values if value is not UNREADABLE)

    return read_list


def mapping_of(reader: Reader) -> Reader:
    """Make a reader for mappings from names to values of one type."""

    def read_mapping(node: Node, path: str, faults: FaultList) -> Any:
        values = {}
        for name, key_node, value_node in pairs(node, path, faults):
            key_path = join(path, name)
            read_name(key_node, key_path, faults)
            value = reader(value_node, key_path, faults)
            if value is not UNREADABLE:
                values[name] = value
        return values

    return read_mapping


def read_keys(
    node: Node, path: str, faults: FaultList, keys: Mapping[str, Key]
) -> dict[str, Any] | None:
    """Read a mapping with known keys.

    Returns None if a required key is missing or unreadable.
    """
    values = {}
    for name, key_node, value_node in pairs(node, path, faults):
        key_path = join(path, name)
        if name not in keys:
            listed = ", ".join(keys)
            faults.add(key_node, key_path, f"unknown key; known here: {listed}")
            continue
        values[name] = keys[name].reader(value_node, key_path, faults)
    complete = True
    for name, key in keys.items():
        if key.required and name not in values and isinstance(node, MappingNode):
            faults.add(node, join(path, name), "is missing")
        if key.required and values.get(name, UNREADABLE) is UNREADABLE:
            complete = False
    readable = {n: v for n, v in values.items() if v is not UNREADABLE}
    return readable if complete else None


def pairs(node: Node, path: str, faults: FaultList) -> list[tuple[str, Node, Node]]:
    """List a mapping's keys with key and value nodes; duplicates are faults."""
    if not isinstance(node, MappingNode):
        faults.add(node, path, f"expected a mapping, found {describe_kind(node)}")
        return []
    seen: dict[str, tuple[str, Node, Node]] = {}
    for key_node, value_node in node.value:
        name = read_text(key_node, path, faults)
        if name is UNREADABLE:
            continue
        if name in seen:
            faults.add(key_node, join(path, name), "duplicate key")
            continue
        seen[name] = (name, key_node, value_node)
    return list(seen.values())


def join(path: str, name: str) -> str:
    """Append a key to a path of keys; quotes a key with unusual characters."""
    name = name if KEY_PATTERN.fullmatch(name) else quote_value(name)
    return f"{path}.{name}" if path else name


def _unquoted_text(node: Node) -> str | None:
    """Return the text of a scalar that is written without quotes, else None."""
    if isinstance(node, ScalarNode) and node.style not in ("'", '"', "|", ">"):
        return str(node.value)
    return None


def _describe_range(minimum: float, maximum: float, above: bool) -> str:
    if math.isfinite(maximum):
        return f"a number from {minimum:g} to {maximum:g}"
    return (
        f"a number above {minimum:g}" if above else f"a number of {minimum:g} or more"
    )
