"""Encodes `attrs` classes as `msgpack`, tagged with their class names."""

from collections.abc import Iterable

import cattrs
import msgpack
from cattrs.preconf.msgpack import make_converter

from knapweedarch.exceptions import CodecError


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

    def encode(self, message: object) -> bytes:
        """Encodes a message.

        Raises:
            CodecError: The message's class is unknown to this codec.
        """
        name = type(message).__name__
        if name not in self._classes:
            raise CodecError(f"unknown message class {name}")
        return msgpack.packb([name, self._converter.unstructure(message)])

    def decode(self, data: bytes) -> object:
        """Decodes a message.

        Raises:
            CodecError: The data is malformed or its class is unknown.
        """
        try:
            name, fields = msgpack.unpackb(data, strict_map_key=False)
            return self._converter.structure(fields, self._classes[name])
        except Exception as exc:
            raise CodecError(f"malformed message: {exc!r}") from exc


def create_codec(*classes: type) -> Codec:
    """Creates a codec for the given `attrs` classes."""
    return Codec(classes)
