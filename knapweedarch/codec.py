"""Encodes `attrs` classes as `msgpack`, tagged with their class names."""

import enum
import functools
import operator
import types
import typing
from collections.abc import Callable, Generator, Iterable, Sequence

import attrs
import cattrs
import msgpack
from cattrs.preconf.msgpack import make_converter

from knapweedarch.exceptions import CodecError

# A message up to this length is decoded without a pause.
LONG_MESSAGE_BYTES = 64 * 1024
# Entries of a list that are structured without a pause.
ENTRIES_PER_STEP = 500
_PLAIN_TYPES = (bool, int, float, str, bytes)

_Read = Callable[[object], object]


class Codec:
    """Encodes and decodes a fixed set of `attrs` classes.

    A message is encoded as the array `[class name, [field, ...]]`. Unknown
    class names and invalid fields are rejected, so a link accepts only the
    messages that its codec was created for.
    """

    def __init__(self, classes: Iterable[type]):
        self._classes = {cls.__name__: cls for cls in classes}
        self._converter: cattrs.Converter = make_converter(
            unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
        )
        self._readers: dict[object, _Read] = {}

    def encode(self, message: object) -> bytes:
        """Encodes a message.

        Raises:
            CodecError: The message's class is unknown to this codec.
        """
        name = type(message).__name__
        if name not in self._classes:
            raise CodecError(f"unknown message class {name}")
        return msgpack.packb([name, message], default=_unstructure)

    def decode(self, data: bytes) -> object:
        """Decodes a message.

        Raises:
            CodecError: The data is malformed or its class is unknown.
        """
        try:
            name, fields = msgpack.unpackb(data, strict_map_key=False)
            return self._reader(self._classes[name])(fields)
        except Exception as exc:
            raise CodecError(f"malformed message: {exc!r}") from exc

    def decode_in_steps(self, data: bytes) -> Generator[None, None, object]:
        """Decodes a message like `decode`; others can be served at each step.

        Returns:
            The message, as the value of the generator.

        Raises:
            CodecError: The data is malformed or its class is unknown.
        """
        try:
            name, fields = msgpack.unpackb(data, strict_map_key=False)
            yield
            return (yield from self._read_steps(self._classes[name], fields))
        except Exception as exc:
            raise CodecError(f"malformed message: {exc!r}") from exc

    def _read_steps(
        self, kind: object, value: object
    ) -> Generator[None, None, object]:
        """Structures a value; the entries of long lists in several steps."""
        if isinstance(kind, type) and attrs.has(kind):
            fields = attrs.fields(attrs.resolve_types(kind))
            arguments = []
            for field, part in zip(fields, value, strict=False):
                argument = yield from self._read_steps(field.type, part)
                arguments.append(argument)
            return kind(*arguments)
        match typing.get_origin(kind), typing.get_args(kind):
            case builtin, (entry, last) if builtin is tuple and last is ...:
                read, entries = self._reader(entry), []
                for start in range(0, len(value), ENTRIES_PER_STEP):
                    part = value[start : start + ENTRIES_PER_STEP]
                    entries += [read(item) for item in part]
                    yield
                return tuple(entries)
        return self._reader(kind)(value)

    def _reader(self, kind: object) -> _Read:
        """Returns the function that structures values of a type.

        cattrs looks a function up for each value. A configuration has so many
        that a member would lose its leadership meanwhile.
        """
        if kind not in self._readers:
            # A class may have fields of its own type.
            self._readers[kind] = lambda value: self._readers[kind](value)
            self._readers[kind] = self._create_reader(kind)
        return self._readers[kind]

    def _create_reader(self, kind: object) -> _Read:
        if kind in _PLAIN_TYPES:
            return self._plain_reader(kind)
        if isinstance(kind, type) and attrs.has(kind):
            return self._fields_reader(kind)
        match typing.get_origin(kind), typing.get_args(kind):
            case builtin, (entry, last) if builtin is tuple and last is ...:
                return _list_reader(self._reader(entry))
            case types.UnionType, (first, last) if last is types.NoneType:
                return _optional_reader(self._reader(first))
        return functools.partial(self._converter.structure, cl=kind)

    def _plain_reader(self, kind: type) -> _Read:
        convert = functools.partial(self._converter.structure, cl=kind)

        def read(value: object) -> object:
            return value if type(value) is kind else convert(value)

        return read

    def _fields_reader(self, cls: type) -> _Read:
        fields = attrs.fields(attrs.resolve_types(cls))
        readers = [self._reader(field.type) for field in fields]

        def read(values: Sequence) -> object:
            # A later build may send more fields, an earlier one fewer.
            return cls(
                *[
                    read_field(value)
                    for read_field, value in zip(readers, values, strict=False)
                ]
            )

        return read


def _list_reader(read_entry: _Read) -> _Read:
    return lambda values: tuple([read_entry(value) for value in values])


def _optional_reader(read: _Read) -> _Read:
    return lambda value: None if value is None else read(value)


def _unstructure(value: object) -> object:
    """Returns what a value that msgpack does not know is encoded as.

    Raises:
        TypeError: The value has no place in a message.
    """
    if isinstance(value, enum.Enum):
        return value.value
    if attrs.has(type(value)):
        return _fields_getter(type(value))(value)
    if isinstance(value, set | frozenset):
        return list(value)
    raise TypeError(f"{type(value).__name__} cannot be encoded")


@functools.cache
def _fields_getter(cls: type) -> Callable[[object], tuple]:
    names = [field.name for field in attrs.fields(cls)]
    match names:
        case []:
            return lambda value: ()
        case [name]:
            get = operator.attrgetter(name)
            return lambda value: (get(value),)
    return operator.attrgetter(*names)


def create_codec(*classes: type) -> Codec:
    """Creates a codec for the given `attrs` classes."""
    return Codec(classes)
