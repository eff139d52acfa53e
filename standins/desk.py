"""Stand-in plain service that counts the runs of each request.

Fault modes:
- `crash` closes the connection after the run, before the body of the answer.
- `exit` ends the process after the run, before the answer.
- `close` closes the connection before the run.
- `delay` answers after `at` seconds.
- `crossed` answers with the id of another request.
- `big` pads the answer with `at` bytes.
- `error` answers 500 after the run.
"""

import json
import os
import secrets
from collections import Counter

import anyio
import attrs
import defopt

from standins import serving
from standins.faults import Fault, Faults, parse_fault


@attrs.define
class Desk:
    """ASGI application of a stand-in plain service.

    Attributes:
        id: Name of the endpoint.
        service: Name of the service.
        credential: The shared endpoint credential.
        data_centre: Data centre of the endpoint.
        journal: File to which each run appends a line; empty for none.
        crash_text: Text in a body at which the process ends; empty for none.
        url: Base URL that it announces.
        status: Status that it announces.
        incarnation: Random identifier of this process.
        faults: Faults still to be injected.
        runs: Runs by idempotency key or, without one, by request id.
        counts: Runs by path; reads are counted by name.
    """

    id: str = "desk-1"
    service: str = "booking"
    credential: str = "secret"
    data_centre: str = "dc1"
    journal: str = ""
    crash_text: str = ""
    url: str = ""
    status: str = "active"
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(8))
    faults: Faults = attrs.field(factory=Faults)
    runs: Counter[str] = attrs.field(factory=Counter)
    counts: Counter[str] = attrs.field(factory=Counter)

    def describe(self) -> dict[str, object]:
        """Returns the announcement."""
        return {
            "id": self.id,
            "incarnation": self.incarnation,
            "url": self.url,
            "kind": "service",
            "serves": [self.service],
            "data_centre": self.data_centre,
            "status": self.status,
        }

    def leave(self) -> None:
        """Sets the status of further announcements to `leaving`."""
        self.status = "leaving"

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request."""
        if scope["type"] == "lifespan":
            return await serving.handle_lifespan(receive, send)
        headers = serving.header_map(scope)
        if not serving.is_authorized(scope, headers, self.credential):
            return await serving.answer(send, 401, {"error": "credential"})
        match scope["method"], scope["path"]:
            case "POST" | "PUT", "/deposits" | "/bookings" | "/orders":
                await self._handle_write(scope["path"], headers, receive, send)
            case "GET", "/availability":
                await self._handle_read(
                    headers, send, {"free": 3}, "availability"
                )
            case "GET", "/stats":
                stats = {"runs": dict(self.runs), "counts": dict(self.counts)}
                await serving.answer(send, 200, stats)
            case "POST", "/fail":
                body = json.loads(await serving.read_body(receive))
                self.faults.add(Fault(**body))
                await serving.answer(send, 200, {})
            case _:
                await serving.answer(
                    send, 404, {"error": "path"}, _echoed_headers(headers)
                )

    async def _handle_write(self, path, headers, receive, send) -> None:
        body = await serving.read_body(receive)
        key = headers.get("idempotency-key", headers.get("x-request-id", ""))
        fault = self.faults.take()
        if fault and fault.mode == "close":
            return await serving.send_incomplete_answer(
                send, _echoed_headers(headers)
            )
        self._record_run(key, path, body)
        if self.crash_text and self.crash_text.encode() in body:
            os._exit(1)
        answer = {"number": sum(self.runs.values()), "path": path}
        await self._answer(headers, send, answer, fault)

    def _record_run(self, key: str, path: str, body: bytes) -> None:
        self.runs[key] += 1
        self.counts[path] += 1
        if self.journal:
            line = json.dumps([key, path, body.decode("utf-8", "replace")])
            with open(self.journal, "a") as file:
                file.write(line + "\n")

    async def _handle_read(self, headers, send, answer, name: str) -> None:
        fault = self.faults.take()
        if fault and fault.mode == "close":
            return await serving.send_incomplete_answer(
                send, _echoed_headers(headers)
            )
        self.counts[name] += 1
        await self._answer(headers, send, answer, fault)

    async def _answer(self, headers, send, body, fault: Fault | None) -> None:
        echo, code = _echoed_headers(headers), 200
        match fault:
            case Fault(mode="crash"):
                return await serving.send_incomplete_answer(send, echo)
            case Fault(mode="exit"):
                os._exit(1)
            case Fault(mode="delay", at=delay_s):
                await anyio.sleep(delay_s)
            case Fault(mode="crossed"):
                echo["x-request-id"] = "another-request"
            case Fault(mode="big", at=size):
                body = {**body, "padding": "x" * int(size)}
            case Fault(mode="error"):
                code = 500
        await serving.answer(send, code, body, echo)


def _echoed_headers(headers: serving.Headers) -> serving.Headers:
    names = ("x-request-id", "x-attempt-id")
    return {name: headers[name] for name in names if name in headers}


def main(
    *,
    id: str,
    service: str,
    routers: str = "",
    credential: str,
    data_centre: str = "dc1",
    journal: str = "",
    crash_text: str = "",
    fail: str = "",
    host: str = "127.0.0.1",
    port: int = 0,
) -> None:
    """Runs a stand-in plain service until SIGTERM.

    :param id: Name of the endpoint.
    :param service: Name of the service.
    :param routers: Base URLs of routers, separated by commas.
    :param credential: The shared endpoint credential.
    :param data_centre: Data centre of the endpoint.
    :param journal: File to which each run appends a line.
    :param crash_text: Text in a body at which the process ends.
    :param fail: Fault injected into the first requests, `mode[:at[:times]]`.
    :param host: IP address to listen on.
    :param port: Port to listen on; 0 lets the kernel choose.
    """
    desk = Desk(id, service, credential, data_centre, journal, crash_text)
    desk.faults.add(parse_fault(fail))
    listener = serving.open_listener(host, port)
    desk.url = serving.base_url(listener)
    announcer = serving.Announcer(
        [url for url in routers.split(",") if url], credential, desk.describe
    )
    anyio.run(serving.run_endpoint, desk, listener, announcer, desk.leave)


if __name__ == "__main__":
    defopt.run(main)
