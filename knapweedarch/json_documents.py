"""Decodes JSON documents of untrusted writers, at a cost bounded by length.

A document is decoded into typed fields; what no field is read from is checked
and skipped, and decoding ends at the first fault. A field that holds a long
list is declared as `msgspec.Raw` and read with `read_batches`, a few entries at
a time, so that a single-threaded process can serve others in between.
"""

import codecs
import functools
import re
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from knapweedarch.exceptions import DocumentError

# Bytes of a list that are decoded without a pause.
CHUNK_BYTES = 32 * 1024
# Brackets that are passed without a pause.
CHUNK_BRACKETS = 4_096
MAX_FAULT_CHARS = 200
# Texts and whatever else holds no bracket.
_FLAT = rb'[^"\[\]{}]*+(?:"(?:[^"\\]++|\\.)*+"[^"\[\]{}]*+)*+'
# Up to the end of the next list or object without another one in it, or else up
# to the next bracket.
_TO_BRACKET = re.compile(
    _FLAT + rb"(?:[\[{]" + _FLAT + rb"[\]}]|([\[\]{}]))", re.DOTALL
)
_OPENING = b"[{"
_SEPARATORS = b" \t\r\n,"
_KEY = re.compile(rb'"([\w.-]{1,64})"\s*:')
# Bytes before a syntax error in which the last key is looked for.
KEY_SEARCH_BYTES = 256
# A fault of msgspec, and the place in the document that it ends with.
_PLACED_FAULT = re.compile(r"(.*) - at `\$(?:\[(\d+)\])?(.*)`", re.DOTALL)
_SYNTAX_FAULT = re.compile(r".*\(byte (\d+)\)", re.DOTALL)

_T = TypeVar("_T")
Data = bytes | msgspec.Raw


def decode_document(data: Data, fields: type[_T]) -> _T:
    """Decodes a whole document.

    Args:
        data: The document, in UTF-8.
        fields: An `attrs` class with the fields that are read.

    Raises:
        DocumentError: The document is no JSON object or has a fault.
    """
    _check_encoding(data)
    return decode_value(data, fields, "")


def decode_value(data: Data, fields: type[_T], path: str) -> _T:
    """Decodes a part of a document.

    Args:
        data: The part.
        fields: Its type.
        path: Its place in the document, used in faults.

    Raises:
        DocumentError: The part has a fault.
    """
    try:
        return _decoder(fields).decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise DocumentError(_describe(exc, data, path)) from exc


def read_batches(
    data: Data, entry_type: type[_T], path: str, limit: int | None = None
) -> Iterator[list[_T]]:
    """Yields the entries of a list in batches.

    An empty batch marks a point at which others may be served.

    Args:
        data: The list.
        entry_type: Type of an entry.
        path: Place of the list in the document, used in faults.
        limit: Most entries; None for any number.

    Raises:
        DocumentError: It is no list, or the first fault in an entry.
    """
    count = 0
    for chunk in split_array(data):
        batch = _decode_batch(chunk, entry_type, path, count) if chunk else []
        count += len(batch)
        if limit is not None and count > limit:
            raise DocumentError(f"{path}: more than {limit} entries")
        yield batch


def split_array(data: Data) -> Iterator[bytes]:
    """Splits a list into lists of consecutive entries.

    It is split only behind entries that are objects or lists. An empty chunk
    marks a point at which others may be served.

    Args:
        data: A complete JSON value. One that is no list is not split.
    """
    view = memoryview(data)
    if len(view) <= CHUNK_BYTES or view[:1] != b"[":
        yield bytes(view)
        return
    depth, start = 0, 1
    for number, match in enumerate(_TO_BRACKET.finditer(view), start=1):
        end = match.end()
        if match.lastindex is not None:
            depth += 1 if view[end - 1] in _OPENING else -1
        if depth == 1 and end - start >= CHUNK_BYTES:
            yield _enclose(view[start:end])
            start = end
            yield b""
        elif number % CHUNK_BRACKETS == 0:
            yield b""
    yield _enclose(view[start:-1])


def _enclose(entries: memoryview) -> bytes:
    """Makes a list of some consecutive entries of another one."""
    return b"[" + bytes(entries).lstrip(_SEPARATORS) + b"]"


@functools.cache
def _decoder(fields: type[_T]) -> msgspec.json.Decoder[_T]:
    return msgspec.json.Decoder(fields)


def _decode_batch(
    chunk: bytes, entry_type: type[_T], path: str, first: int
) -> list[_T]:
    """Decodes a part of a list whose first entry has the number `first`."""
    try:
        return _decoder(list[entry_type]).decode(chunk)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise DocumentError(_describe(exc, chunk, path, first)) from exc


def _describe(exc: Exception, data: Data, path: str, first: int = 0) -> str:
    """Returns a short text with the place of a fault.

    Args:
        exc: The fault.
        data: What was decoded.
        path: Its place in the document; empty for the whole document.
        first: Number of its first entry if it is a part of a list.
    """
    text = str(exc)
    if match := _PLACED_FAULT.fullmatch(text):
        text, number, rest = match.groups()
        if number is not None:
            rest = f"[{int(number) + first}]{rest}"
        path = f"{path}{rest}".removeprefix(".")
    elif match := _SYNTAX_FAULT.fullmatch(text):
        text += _name_last_key(data, int(match[1]))
    text = text[:MAX_FAULT_CHARS]
    return f"{path}: {text}" if path else text


def _name_last_key(data: Data, end: int) -> str:
    """Names the last key before a byte; values may be secret."""
    before = memoryview(data)[max(0, end - KEY_SEARCH_BYTES) : end]
    keys = _KEY.findall(before)
    return f" after key {bytes(keys[-1]).decode()}" if keys else ""


def _check_encoding(data: Data) -> None:
    """Checks the texts that decoding skips as well.

    Raises:
        DocumentError: The document is not UTF-8.
    """
    view = memoryview(data)
    decoder = codecs.getincrementaldecoder("utf-8")()
    try:
        for start in range(0, len(view), CHUNK_BYTES):
            decoder.decode(view[start : start + CHUNK_BYTES])
        decoder.decode(b"", final=True)
    except UnicodeDecodeError as exc:
        raise DocumentError(f"not UTF-8: {exc.reason}") from exc
