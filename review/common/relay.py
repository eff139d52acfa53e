"""A relay that holds what it is sent for a while, as a cut link does."""

import asyncio
import contextlib


class HoldingRelay:
    """Passes connections on to one address, and holds them during a cut.

    After the cut it delivers what was sent meanwhile, in order, and then the
    end of each connection that its sender has closed.

    Args:
        target: Address to pass on to.
    """

    def __init__(self, target: str):
        self._target = target
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str) -> None:
        """Listens at a free port of a host."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def cut(self) -> None:
        """Begins to hold everything."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Delivers what was held, and holds nothing more."""
        self._is_whole.set()

    async def _accept(self, reader, writer) -> None:
        target = None
        try:
            await self._is_whole.wait()
            host, _, port = self._target.rpartition(":")
            back, target = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pump(reader, target), self._pump(back, writer)
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()
            if target is not None:
                target.transport.abort()

    async def _pump(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._is_whole.wait()
                writer.write(data)
                await writer.drain()
            writer.close()
