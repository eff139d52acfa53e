"""Steps for messages and journals that an earlier build wrote."""

import base64
import importlib
import json
import pathlib
import tempfile

import attrs
import msgpack
from behave import given, then

from knapweedarch.journal import open_journal
from knapweedarch.state import ControlState

RECORDED = pathlib.Path(__file__).resolve().parent.parent / "recorded"


@given("what build {build} wrote")
def load_recorded(context, build):
    text = (RECORDED / f"{build}.json").read_text()
    context.recorded = json.loads(text)


def each_message(recorded):
    """Yields the codec, the class and the record of each message."""
    for path, classes in recorded["codecs"].items():
        module_name, name = path.split(".")
        module = importlib.import_module(f"knapweedarch.{module_name}")
        codec = getattr(module, name)
        for class_name, message in classes.items():
            yield codec, class_name, message


def begins_with(new, old):
    """Returns whether packed fields are the old ones and perhaps more."""
    if isinstance(old, list) and isinstance(new, list):
        pairs = zip(new, old, strict=False)
        return len(new) >= len(old) and all(begins_with(*p) for p in pairs)
    return new == old


@then("every message is read, and its fields come first in the same order")
def check_messages(context):
    for codec, name, message in each_message(context.recorded):
        data = base64.b64decode(message["data"])
        decoded = codec.decode(data)
        fields = [field.name for field in attrs.fields(type(decoded))]
        old = message["fields"]
        assert fields[: len(old)] == old, f"{name}: {fields} after {old}"
        again = msgpack.unpackb(codec.encode(decoded), strict_map_key=False)
        first = msgpack.unpackb(data, strict_map_key=False)
        assert begins_with(again, first), f"{name}: {again} after {first}"


@then("every message is read with another field at its end")
def check_longer_messages(context):
    for codec, name, message in each_message(context.recorded):
        known = codec.decode(base64.b64decode(message["data"]))
        # The fields of this build come first, some of which the record lacks.
        packed = codec.encode(known)
        tag, fields = msgpack.unpackb(packed, strict_map_key=False)
        longer = msgpack.packb([tag, [*fields, "of a later build"]])
        assert codec.decode(longer) == known, name


@then(
    "its journal holds the snapshot at {snapshot:d} and entry {entry:d} of term"
    " {term:d}"
)
def check_journal(context, snapshot, entry, term):
    with tempfile.TemporaryDirectory() as folder:
        for name, text in context.recorded["journal"].items():
            path = pathlib.Path(folder) / name
            path.write_bytes(base64.b64decode(text))
        journal = open_journal(folder)
        journal.close()
    context.restored = restored = journal.restored
    assert restored.snapshot.index == snapshot
    assert [(e.index, e.term) for e in restored.entries] == [(entry, term)]
    assert (restored.hard_state.term, restored.hard_state.voted_for) == (2, "b")


@then("the state in its snapshot is whole")
def check_state(context):
    state = ControlState()
    state.restore(context.restored.snapshot.data)
    assert state.document == b"document"
    assert state.deployment.version == 1
    assert state.endpoints["i-1"].endpoint.software_version == "v1"
    assert state.weights == {"guide": 7}
