"""Bytes of messages between processes: Cap'n Proto, mapped by field name.

The schema is read when this module is imported; Cap'n Proto's reader takes old
and new fields alike, so processes of neighbouring releases understand each other.
"""

import math
from collections.abc import Callable
from functools import cache
from pathlib import Path
from types import UnionType
from typing import Any, get_args, get_type_hints

import attrs
import capnp

from acaciacove.errors import MalformedMessageError
from acaciacove.messages.message import Message

SCHEMA_PATH = Path(__file__).with_name("acaciacove.capnp")
TRAVERSAL_LIMIT_WORDS = 2**24

_schema = capnp.load(str(SCHEMA_PATH))
_ABSENT_NUMBER = math.nan

_Converter = Callable[[Any], Any]
_Writer = Callable[[Any, Any], None]


def encode(message: Message) -> bytes:
    """Write one message as a Cap'n Proto frame."""
    frame = _schema.Frame.new_message()
    name = _camel(type(message).__name__, first_upper=False)
    _fill(frame.init(name), message)
    data: bytes = frame.to_bytes()
    return data


def decode(data: bytes) -> Message:
    """Read one message; raises MalformedMessageError."""
    try:
        with _schema.Frame.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as frame:
            name = str(frame.which())
            message: Message = _from_reader(_classes()[name], getattr(frame, name))
            return message
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from error


@cache
def _classes() -> dict[str, type]:
    """Map the names of the frame's union to message classes."""
    return {_camel(c.__name__, first_upper=False): c for c in get_args(Message)}


@cache
def _camel(name: str, first_upper: bool) -> str:
    """Spell a class or field name as the schema does."""
    if "_" in name or name.islower():
        head, *rest = name.split("_")
        return head + "".join(part.capitalize() for part in rest)
    return name if first_upper else name[0].lower() + name[1:]


def _keep(value: Any) -> Any:
    """Leave a plain value as it is."""
    return value


def _number_in(value: float) -> float | None:
    """Read NaN as an absent number."""
    return None if math.isnan(value) else value


@cache
def _writers(cls: Any) -> tuple[tuple[str, _Writer], ...]:
    """List a class's fields with what writes them into a struct's builder."""
    hints = get_type_hints(cls)
    return tuple(
        (f.name, _writer(_camel(f.name, first_upper=False), hints[f.name]))
        for f in attrs.fields(cls)
    )


@cache
def _readers(cls: type) -> tuple[tuple[str, _Converter], ...]:
    """List a class's schema names with their readers, in order of its fields."""
    hints = get_type_hints(cls)
    return tuple(
        (_camel(f.name, first_upper=False), _reader(hints[f.name]))
        for f in attrs.fields(cls)
    )


def _writer(name: str, hint: Any) -> _Writer:
    """Choose how a field of a type is written.

    Fields are set one by one: handing the library whole dicts took ten times as
    long. What equals the schema's default (zero, false, empty) need not be set.
    """
    if attrs.has(hint):
        return lambda builder, value: _fill(builder.init(name), value)
    if isinstance(hint, UnionType):
        return lambda builder, value: setattr(
            builder, name, _ABSENT_NUMBER if value is None else value
        )
    if not get_args(hint):
        return lambda builder, value: _set(builder, name, value)
    if attrs.has(get_args(hint)[0]):
        return lambda builder, values: _fill_list(builder, name, values)
    return lambda builder, values: _set(builder, name, list(values))


def _set(builder: Any, name: str, value: Any) -> None:
    if value:
        setattr(builder, name, value)


def _fill_list(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    """Write a list of structs."""
    if not values:
        return
    items = builder.init(name, len(values))
    for place, value in enumerate(values):
        _fill(items[place], value)


def _fill(builder: Any, message: Any) -> None:
    """Write an attrs value into a struct's builder."""
    cls: Any = type(message)
    for field, write in _writers(cls):
        write(builder, getattr(message, field))


def _reader(hint: Any) -> _Converter:
    """Choose how values of a type are read."""
    if attrs.has(hint):
        return lambda value: _from_reader(hint, value)
    if isinstance(hint, UnionType):
        return _number_in
    if get_args(hint):
        return _list_reader(_reader(get_args(hint)[0]))
    return _keep


def _list_reader(item: _Converter) -> _Converter:
    return lambda values: tuple(item(value) for value in values)


def _from_reader(cls: type, reader: Any) -> Any:
    """Build an attrs value from a struct that was read."""
    return cls(*[read(getattr(reader, name)) for name, read in _readers(cls)])
