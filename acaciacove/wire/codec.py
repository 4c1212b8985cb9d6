"""Codec of the messages between processes: Cap'n Proto, mapped by field name.

The schema is loaded when this module is imported. Cap'n Proto tolerates missing and
unknown fields, so that processes of adjacent releases are compatible.
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
_NONE_AS_NUMBER = math.nan

_Reader = Callable[[Any], Any]
_Writer = Callable[[Any, str, Any], None]


def encode(message: Message) -> bytes:
    """Encode a message as a Cap'n Proto frame.

    Fields are set one by one. Passing nested dictionaries to the builder takes
    several times as long, for every token of every stream.
    """
    frame = _schema.Frame.new_message()
    cls: Any = type(message)
    _write_fields(frame.init(_union_field_name(cls)), message)
    data: bytes = frame.to_bytes()
    return data


def decode(data: bytes) -> Message:
    """Decode a message; raises MalformedMessageError."""
    try:
        with _schema.Frame.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as frame:
            name = str(frame.which())
            message: Message = _read_struct(
                _classes_by_union_name()[name], getattr(frame, name)
            )
            return message
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise MalformedMessageError(
            f"expected a Cap'n Proto Frame, got {len(data)} bytes: {error}"
        ) from error


@cache
def _union_field_name(cls: type) -> str:
    """Return the name of a message class in the union of the frame."""
    return _camel_case(cls.__name__, first_upper=False)


@cache
def _classes_by_union_name() -> dict[str, type]:
    """Return the message classes by their names in the union of the frame."""
    return {_camel_case(c.__name__, first_upper=False): c for c in get_args(Message)}


def _camel_case(name: str, first_upper: bool) -> str:
    """Convert a class or field name to the camelCase of the schema."""
    if "_" in name or name.islower():
        head, *rest = name.split("_")
        return head + "".join(part.capitalize() for part in rest)
    return name if first_upper else name[0].lower() + name[1:]


def _identity(value: Any) -> Any:
    """Return a plain value unchanged."""
    return value


def _read_optional_number(value: float) -> float | None:
    """Decode NaN as None."""
    return None if math.isnan(value) else value


@cache
def _writers(cls: Any) -> tuple[tuple[str, str, _Writer], ...]:
    """Return the fields of a class with their schema names and writers."""
    hints = get_type_hints(cls)
    return tuple(
        (f.name, _camel_case(f.name, first_upper=False), _writer(hints[f.name]))
        for f in attrs.fields(cls)
    )


@cache
def _readers(cls: type) -> tuple[tuple[Any, _Reader], ...]:
    """Return the schema fields of a class with their readers, in field order.

    Reading by schema field avoids the look-up by name, which takes most of the time
    of decoding a message.
    """
    hints = get_type_hints(cls)
    schema_fields = getattr(_schema, cls.__name__).schema.fields
    return tuple(
        (
            schema_fields[_camel_case(f.name, first_upper=False)],
            _reader(hints[f.name]),
        )
        for f in attrs.fields(cls)
    )


def _writer(hint: Any) -> _Writer:
    """Return the function that writes values of a type."""
    if attrs.has(hint):
        return _write_struct
    if isinstance(hint, UnionType):
        return _write_optional_number
    if get_args(hint):
        return _write_structs if attrs.has(get_args(hint)[0]) else _write_list
    return setattr


def _reader(hint: Any) -> _Reader:
    """Return the function that reads values of a type."""
    if attrs.has(hint):
        return lambda value: _read_struct(hint, value)
    if isinstance(hint, UnionType):
        return _read_optional_number
    if get_args(hint):
        return _list_reader(_reader(get_args(hint)[0]))
    return _identity


def _list_reader(item: _Reader) -> _Reader:
    return lambda values: tuple(item(value) for value in values)


def _write_fields(builder: Any, value: Any) -> None:
    """Write all fields of an attrs value into a struct."""
    cls: Any = type(value)
    for field, name, write in _writers(cls):
        write(builder, name, getattr(value, field))


def _write_optional_number(builder: Any, name: str, value: float | None) -> None:
    """Encode None as NaN."""
    setattr(builder, name, _NONE_AS_NUMBER if value is None else value)


def _write_struct(builder: Any, name: str, value: Any) -> None:
    _write_fields(builder.init(name), value)


def _write_structs(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    if not values:
        return
    items = builder.init(name, len(values))
    for item, value in zip(items, values, strict=True):
        _write_fields(item, value)


def _write_list(builder: Any, name: str, values: tuple[Any, ...]) -> None:
    if values:
        setattr(builder, name, list(values))


def _read_struct(cls: type, reader: Any) -> Any:
    """Create an attrs value from a struct."""
    get = reader._get_by_field
    return cls(*[read(get(field)) for field, read in _readers(cls)])
