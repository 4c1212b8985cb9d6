"""Parses bytes into a tree of YAML nodes, safely for untrusted input."""

import yaml

from acaciacove.release_format.fault_list import FIRST_LINE
from acaciacove.release_format.invalid_note_error import InvalidNoteError
from acaciacove.release_format.note_fault import NoteFault

MAX_DEPTH = 12
MAX_ALIAS_FAULTS = 10
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def load_nodes(data: bytes, max_bytes: int) -> yaml.Node:
    """Parse one YAML document into nodes, without constructing Python objects.

    Raises InvalidNoteError when the text is too large, not UTF-8, not one YAML
    document, nested too deep, or uses aliases.
    """
    text = _decode(data, max_bytes)
    try:
        _check_events(text)
        node = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + FIRST_LINE if error.problem_mark else 0
        raise _note_error(line, f"not valid YAML: {error.problem}") from error
    except yaml.YAMLError as error:
        raise _note_error(
            0, f"not valid YAML: {' '.join(str(error).split())}"
        ) from error
    if node is None:
        raise _note_error(0, "the release note is empty")
    return node


def _decode(data: bytes, max_bytes: int) -> str:
    """Decode UTF-8; refuses text that is too large before it is parsed."""
    if len(data) > max_bytes:
        message = f"the release note has {len(data)} bytes, the limit is {max_bytes}"
        raise _note_error(0, message)
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + FIRST_LINE
        raise _note_error(line, "not UTF-8 text") from error


def _check_events(text: str) -> None:
    """Refuse aliases and deep nesting.

    A few hundred bytes of nested aliases expand to billions of nodes, and very deep
    nesting exhausts the stack. The command would run out of memory or crash without
    naming a line. Events are parsed one by one, before any tree is built.
    """
    faults: list[NoteFault] = []
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        if isinstance(event, yaml.AliasEvent):
            line = _event_line(event)
            message = "aliases are not taken; write the value out"
            faults.append(NoteFault(line, "", message))
        elif isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            line = _event_line(event)
            faults.append(NoteFault(line, "", f"nested deeper than {MAX_DEPTH}"))
            break
        if len(faults) >= MAX_ALIAS_FAULTS:
            break
    if faults:
        raise InvalidNoteError(faults)


def _event_line(event: yaml.Event) -> int:
    return event.start_mark.line + FIRST_LINE if event.start_mark else 0


def _note_error(line: int, message: str) -> InvalidNoteError:
    return InvalidNoteError([NoteFault(line, "", message)])
