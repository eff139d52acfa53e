"""HTTP serving and announcements shared by the stand-in endpoints."""

import json
import logging
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, MutableMapping

import anyio
import attrs
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
GRACEFUL_TIMEOUT_S = 30.0
KEEP_ALIVE_TIMEOUT_S = 30.0
# Paths used only by tests and the demo; routers never request them.
UNAUTHENTICATED_PATHS = frozenset({"/stats", "/fail"})

Message = MutableMapping[str, object]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Headers = dict[str, str]


def open_listener(host: str, port: int) -> socket.socket:
    """Binds a TCP socket; port 0 lets the kernel choose a free port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    return listener


def base_url(listener: socket.socket) -> str:
    """Returns the base URL of a bound socket."""
    host, port = listener.getsockname()[:2]
    return f"http://{host}:{port}"


async def serve_app(
    app: object,
    listener: socket.socket,
    stop: anyio.Event,
    graceful_s: float = GRACEFUL_TIMEOUT_S,
) -> None:
    """Serves an ASGI application until `stop` is set, then shuts down.

    Args:
        app: ASGI application.
        listener: Socket to serve on.
        stop: Starts the graceful shutdown when set.
        graceful_s: Longest wait for running requests in seconds.
    """
    cfg = Config()
    # hypercorn takes ownership of the descriptor and closes it.
    cfg.bind = [f"fd://{listener.detach()}"]
    cfg.graceful_timeout = graceful_s
    cfg.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    cfg.keep_alive_max_requests = 1_000_000
    cfg.backlog = 1024
    cfg.errorlog = logging.getLogger("standins")
    await serve(app, cfg, shutdown_trigger=stop.wait)


async def read_body(receive: Receive) -> bytes:
    """Reads the body of a request, up to a disconnect of the sender."""
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"".join(parts)
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def answer(
    send: Send, code: int, body: object, headers: Headers | None = None
) -> None:
    """Sends a complete JSON answer."""
    data = json.dumps(body).encode()
    fields = {"content-type": "application/json", **(headers or {})}
    await send(
        {
            "type": "http.response.start",
            "status": code,
            "headers": [
                (name.encode(), value.encode())
                for name, value in fields.items()
            ]
            + [(b"content-length", str(len(data)).encode())],
        }
    )
    await send({"type": "http.response.body", "body": data})


async def send_incomplete_answer(send: Send, headers: Headers) -> None:
    """Sends only the headers of an answer; the server closes the connection.

    The headers are needed because hypercorn answers 500 to a request if the
    application sends nothing.
    """
    fields = {"content-length": "100", **headers}
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(k.encode(), v.encode()) for k, v in fields.items()],
        }
    )


def header_map(scope: Message) -> Headers:
    """Returns the headers of a request by lower-case name."""
    return {k.decode("latin1"): v.decode("latin1") for k, v in scope["headers"]}


def is_authorized(scope: Message, headers: Headers, credential: str) -> bool:
    """Returns whether a request has the credential or needs none."""
    if scope["path"] in UNAUTHENTICATED_PATHS:
        return True
    return headers.get("authorization") == f"Bearer {credential}"


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Answers the lifespan messages of the server."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


@attrs.define
class Announcer:
    """Announces an endpoint to the routers in turn.

    Attributes:
        routers: Base URLs of the routers.
        credential: The shared endpoint credential.
        describe: Returns the announcement.
    """

    routers: list[str]
    credential: str
    describe: Callable[[], dict[str, object]]
    _next_router: int = 0

    async def announce(self) -> bool:
        """Announces once and returns whether a router accepted it.

        Each router is tried until one accepts.
        """
        async with httpx.AsyncClient(
            timeout=ANNOUNCE_TIMEOUT_S, trust_env=False
        ) as client:
            for _ in self.routers:
                url = self.routers[self._next_router % len(self.routers)]
                self._next_router += 1
                try:
                    response = await client.post(
                        f"{url}/v1/endpoints",
                        json=self.describe(),
                        headers={"authorization": f"Bearer {self.credential}"},
                    )
                except httpx.HTTPError:
                    continue
                if response.status_code == 200:
                    return True
        return False

    async def run(self) -> None:
        """Announces every `ANNOUNCE_INTERVAL_S` until cancelled.

        Returns at once if there are no routers.
        """
        while self.routers:
            await self.announce()
            await anyio.sleep(ANNOUNCE_INTERVAL_S)


async def run_endpoint(
    app: object,
    listener: socket.socket,
    announcer: Announcer,
    leave: Callable[[], None],
    end_feeds: Callable[[], None] = lambda: None,
) -> None:
    """Serves and announces an endpoint until SIGTERM or SIGINT.

    Args:
        app: ASGI application.
        listener: Socket to serve on.
        announcer: Announces the endpoint, once more after `leave` was called.
        leave: Changes the status in the announcement to `leaving`.
        end_feeds: Ends the feed streams, which otherwise never end.
    """
    stop = anyio.Event()
    port = listener.getsockname()[1]
    async with anyio.create_task_group() as group:
        group.start_soon(serve_app, app, listener, stop)
        announcing = anyio.CancelScope()

        async def announce() -> None:
            with announcing:
                await announcer.run()

        group.start_soon(announce)
        print(f"ready {port}", flush=True)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
        announcing.cancel()
        leave()
        if announcer.routers and not await announcer.announce():
            print(
                "no router accepted the announcement as leaving",
                file=sys.stderr,
            )
        end_feeds()
        stop.set()
