"""Runs a process that can lose its paths to endpoints.

    cut_process.py member|proxy     a process of the platform
    cut_process.py --settings FILE  a process of the product

While a file beside its settings file exists, connections to the addresses of
endpoints (see `platform_site`) fail in the way that the file names: `hang`,
`reset`, or `refuse`, which leaves open connections alone.
"""

import os
import pathlib
import sys

import anyio

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

CUT_SUFFIX = ".cut"
FIRST_ENDPOINT_NUMBER = 200
CHECK_INTERVAL_S = 0.05
SETTINGS = os.environ.get("KNAPWEEDARCH_NODE_FILE") or sys.argv[-1]
CUT_FILE = pathlib.Path(SETTINGS + CUT_SUFFIX)

connect_tcp = anyio.connect_tcp


def cut_mode() -> str:
    """Returns how connections fail now; empty if they do not."""
    return CUT_FILE.read_text() if CUT_FILE.exists() else ""


class CutStream:
    """A connection to an endpoint that fails while the paths are cut."""

    def __init__(self, stream):
        self._stream = stream

    def __getattr__(self, name):
        return getattr(self._stream, name)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receives bytes; hangs or raises an error during a cut."""
        while True:
            match cut_mode():
                case "hang":
                    await anyio.sleep(CHECK_INTERVAL_S)
                    continue
                case "reset":
                    raise anyio.BrokenResourceError
            with anyio.move_on_after(CHECK_INTERVAL_S):
                return await self._stream.receive(max_bytes)

    async def send(self, data: bytes) -> None:
        """Sends bytes; loses them or raises an error during a cut."""
        match cut_mode():
            case "hang":
                return
            case "reset":
                raise anyio.BrokenResourceError
        await self._stream.send(data)


async def connect(host, port, **options):
    """Replaces `anyio.connect_tcp`."""
    if int(host.rpartition(".")[2]) <= FIRST_ENDPOINT_NUMBER:
        return await connect_tcp(host, port, **options)
    match cut_mode():
        case "hang":
            await anyio.sleep_forever()
        case "reset" | "refuse":
            raise ConnectionRefusedError
    return CutStream(await connect_tcp(host, port, **options))


def main() -> None:
    """Runs what the command line names."""
    anyio.connect_tcp = connect
    if sys.argv[1] == "--settings":
        from knapweedarch.daemon import main as run_daemon

        run_daemon()
        return
    from adapter.daemon import serve

    serve(sys.argv[1])


if __name__ == "__main__":
    main()
