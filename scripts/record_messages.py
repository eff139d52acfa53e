"""Records messages and a journal as the build on Python's path writes them.

    PYTHONPATH=BUILD python scripts/record_messages.py NAME FILE

Later builds must read what this one wrote, so each file stays as it is; see
`features/recorded_messages.feature`. Each class of each codec is recorded with
a value in every field.
"""

import base64
import enum
import importlib
import json
import pathlib
import sys
import tempfile
import types
import typing

import attrs

from knapweedarch.codec import Codec
from knapweedarch.deployments import Deployment
from knapweedarch.journal import open_journal
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.replica_messages import (
    Entry,
    EntryKind,
    HardState,
    Member,
    Output,
    Snapshot,
)
from knapweedarch.state import (
    COMMANDS,
    Announce,
    ControlState,
    NameWeights,
    PutDeployment,
)

MODULES = (
    "control_messages",
    "journal",
    "links",
    "replica_messages",
    "state",
    "state_commands",
    "tunnel_messages",
)
UNIONS = (typing.Union, types.UnionType)


def create_sample(cls: type) -> object:
    """Creates an instance with a value in every field."""
    attrs.resolve_types(cls)
    values = {
        field.alias: _sample_value(field.type, number)
        for number, field in enumerate(attrs.fields(cls), 1)
    }
    return cls(**values)


def _sample_value(kind: object, number: int) -> object:
    """Returns a value of a field type that is no default."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in UNIONS:
        known = [a for a in arguments if a is not type(None)]
        return _sample_value(known[0], number)
    if origin is tuple:
        items = [a for a in arguments if a is not Ellipsis]
        return tuple(_sample_value(a, number) for a in items)
    if origin is dict:
        key, value = arguments
        return {_sample_value(key, number): _sample_value(value, number)}
    if attrs.has(kind):
        return create_sample(kind)
    if issubclass(kind, enum.Enum):
        return list(kind)[-1]
    samples = {
        str: f"text-{number}",
        bytes: f"bytes-{number}".encode(),
        int: number,
        float: number + 0.5,
        bool: True,
    }
    return samples[kind]


def record_codecs() -> dict:
    """Encodes a sample of each class of each codec."""
    recorded = {}
    for module_name in MODULES:
        module = importlib.import_module(f"knapweedarch.{module_name}")
        for name, codec in sorted(vars(module).items()):
            own = isinstance(codec, Codec) and not _is_imported(module, name)
            if own:
                recorded[f"{module_name}.{name}"] = _record_classes(codec)
    return recorded


def _is_imported(module: types.ModuleType, name: str) -> bool:
    """Returns whether a codec belongs to another recorded module."""
    return module.__name__.endswith(".state") and name in (
        "COMMANDS",
        "RESULTS",
    )


def _record_classes(codec: Codec) -> dict:
    return {
        name: {
            "fields": [field.name for field in attrs.fields(cls)],
            "data": _text(codec.encode(create_sample(cls))),
        }
        for name, cls in sorted(codec._classes.items())
    }


def record_journal() -> dict:
    """Writes a journal with a snapshot and later records; returns its files."""
    with tempfile.TemporaryDirectory() as folder:
        journal = open_journal(folder)
        member = Member("a", journal.identity, "127.0.0.1", 1, True)
        journal.form((member,))
        commands = [COMMANDS.encode(c) for c in _commands()]
        entries = [
            Entry(2 + n, 1, EntryKind.DATA, data)
            for n, data in enumerate(commands)
        ]
        journal.save(
            Output(hard_state=HardState(1, "a"), entries=tuple(entries))
        )
        state = ControlState()
        for command in commands:
            state.apply(command)
        covered = Snapshot(entries[-1].index, 1, (member,), state.snapshot())
        journal.save(Output(compacted=covered))
        later = Entry(entries[-1].index + 1, 2, EntryKind.NOOP, b"")
        journal.save(Output(hard_state=HardState(2, "b"), entries=(later,)))
        journal.close()
        files = sorted(pathlib.Path(folder).iterdir())
        return {f.name: _text(f.read_bytes()) for f in files}


def _commands() -> list[object]:
    endpoint = Endpoint(
        *("i-1", "boot-1", "http://127.0.0.1:9", EndpointKind.RUNNER),
        serves=("guide",),
        software_version="v1",
    )
    return [
        PutDeployment(create_sample(Deployment), b"document"),
        Announce(endpoint),
        NameWeights("guide", 7),
    ]


def _text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def main() -> None:
    """Writes the file that the command line names."""
    name, path = sys.argv[1:]
    recorded = {
        "build": name,
        "codecs": record_codecs(),
        "journal": record_journal(),
    }
    text = json.dumps(recorded, indent=1) + "\n"
    pathlib.Path(path).write_text(text)


if __name__ == "__main__":
    main()
