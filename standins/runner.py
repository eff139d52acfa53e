"""Stand-in model runner; see docs/ENDPOINTS.md for its interface.

Fault modes of a stream at its token `at`, counted from 0 in each attempt:
- `break` closes the connection.
- `silent` sends nothing more.
- `pause` sends nothing for `PAUSE_S` and then goes on.
- `gap` skips a token.
- `repeat` sends a token twice.
- `crossed` sends a token with the id of another attempt.

Fault modes of the whole request:
- `no_done` ends the stream without the event `[DONE]`.
- `error` answers 500 before running.
- `refuse` answers 409 before running.
"""

import json
import random
import secrets
from collections import Counter, OrderedDict

import anyio
import attrs
import defopt

from knapweedarch.models import Priority
from standins import serving, texts
from standins.engine import BLOCK_TOKENS, BlockCache, Feed, Slots
from standins.faults import Fault, Faults, parse_fault

LOAD_REPORT_PERIOD_S = 0.2
LOAD_WEIGHTS_S = 0.5
# Longer than a router waits for an event if another runner may go on.
PAUSE_S = 2.6
DEFAULT_TOKENS = 32
MAX_STATS_REQUESTS = 10_000


@attrs.frozen
class RunnerConfig:
    """Settings of a stand-in runner; see `main` for their meaning."""

    id: str = "runner-1"
    model: str = "guide"
    version: str = "w1"
    data_centre: str = "dc1"
    credential: str = "secret"
    seed: int = 0
    token_ms: float = 5.0
    prefill_ms: float = 0.0
    slots: int = 8
    cache_blocks: int = 256
    checks_fencing: bool = False
    feed_loss: float = 0.0
    crash_text: str = ""
    software_version: str = ""


@attrs.define
class Job:
    """An attempt that waits for a slot or runs.

    Attributes:
        request_id: Id of the request.
        attempt_id: Router's incarnation and number of the attempt, with a slash
            between them.
        salt: Cache salt, which separates the prompts of customers.
        priority: Priority; lower values go first.
        body: Parsed JSON body.
        fault: Fault to inject, if any.
        scope: Cancels the attempt.
        resumes: Whether it continues an answer that another attempt started.
    """

    request_id: str
    attempt_id: str
    salt: str
    priority: int
    body: dict
    fault: Fault | None
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    resumes: bool = False

    @property
    def max_tokens(self) -> int:
        """Length of the whole answer in tokens, including resumed ones."""
        return int(self.body.get("max_tokens") or DEFAULT_TOKENS)


class Runner:
    """ASGI application of a stand-in runner.

    Attributes:
        cfg: Settings.
        url: Base URL that it announces.
        incarnation: Random identifier of this process.
        version: Loaded version of the weights.
        model: Loaded model.
        status: Status that it announces.
        role: Role set by the last order.
        faults: Faults still to be injected.
        counts: Counters by name, as `/stats` returns them.
        attempts: Ids of the attempts by request id, for the last
            `MAX_STATS_REQUESTS` requests.
    """

    def __init__(self, cfg: RunnerConfig):
        self.cfg = cfg
        self.url = ""
        self.incarnation = secrets.token_hex(8)
        self.version = cfg.version
        self.model = cfg.model
        self.status = "active"
        self.role = "serve"
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.attempts: OrderedDict[str, list[str]] = OrderedDict()
        self._random = random.Random(cfg.seed)
        self._feed = Feed()
        self._cache = BlockCache(cfg.cache_blocks, self._feed.publish)
        self._slots = Slots(cfg.slots)
        self._jobs: dict[str, Job] = {}
        self._queued: Counter[int] = Counter()
        self._fencing_number = 0
        self._highest_attempts: dict[str, int] = {}
        self._stopping = anyio.Event()

    def describe(self) -> dict[str, object]:
        """Returns the announcement."""
        return {
            "id": self.cfg.id,
            "incarnation": self.incarnation,
            "url": self.url,
            "kind": "runner",
            "serves": [self.model],
            "weights_version": self.version,
            "software_version": self.cfg.software_version,
            "data_centre": self.cfg.data_centre,
            "slots": self.cfg.slots,
            "cache_blocks": self.cfg.cache_blocks,
            "checks_fencing": self.cfg.checks_fencing,
            "status": self.status,
        }

    def leave(self) -> None:
        """Sets the status of further announcements to `leaving`."""
        self.status = "leaving"

    def stop(self) -> None:
        """Ends the feed streams, which otherwise never end."""
        self._stopping.set()

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request."""
        if scope["type"] == "lifespan":
            return await serving.handle_lifespan(receive, send)
        headers = serving.header_map(scope)
        if not serving.is_authorized(scope, headers, self.cfg.credential):
            return await serving.answer(send, 401, {"error": "credential"})
        match scope["method"], scope["path"]:
            case "POST", "/v1/chat/completions":
                await self._chat(headers, receive, send)
            case "POST", "/cancel":
                await self._cancel(receive, send)
            case "GET", "/feed":
                await self._serve_feed(headers, receive, send)
            case "POST", "/orders":
                await self._order(headers, receive, send)
            case "POST", "/kv/export" | "/kv/import":
                await self._move_blocks(scope["path"], headers, receive, send)
            case "GET", "/stats":
                await serving.answer(send, 200, self.stats())
            case "POST", "/fail":
                body = json.loads(await serving.read_body(receive))
                self.faults.add(Fault(**body))
                await serving.answer(send, 200, {})
            case _:
                await serving.answer(send, 404, {"error": "path"})

    def stats(self) -> dict[str, object]:
        """Returns the incarnation, load, attempts by request and counts.

        `runs` counts started attempts; `running` includes those that wait.
        """
        return {
            "incarnation": self.incarnation,
            "runs": self.counts["requests"],
            "running": len(self._jobs),
            "attempts": dict(self.attempts),
            "counts": dict(self.counts),
            "load": self.load(""),
        }

    def load(self, router: str) -> dict[str, int]:
        """Returns the load and the highest attempt number seen of a router."""
        return {
            "running": self._slots.running,
            "queued": self._slots.queued,
            "queued_tokens": sum(self._queued.values()),
            "urgent_tokens": sum(
                self._queued[p] for p in Priority if p <= Priority.GUEST
            ),
            "acknowledged": self._highest_attempts.get(router, 0),
        }

    async def _chat(self, headers, receive, send) -> None:
        body = json.loads(await serving.read_body(receive))
        refusal = self._refusal(headers, body)
        fault = self.faults.take()
        if fault and fault.mode == "refuse":
            refusal = 409, "wrong_incarnation"
        if fault and fault.mode == "error":
            refusal = 500, "engine"
        if refusal:
            code, reason = refusal
            self.counts[f"refused_{code}"] += 1
            return await serving.answer(
                send,
                code,
                {"error": {"reason": reason}},
                _echoed_headers(headers),
            )
        job = Job(
            headers.get("x-request-id", ""),
            headers.get("x-attempt-id", ""),
            headers.get("x-cache-salt", ""),
            int(headers.get("x-priority", 2)),
            body,
            fault,
        )
        self._record_attempt(job)
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_caller, job, receive)
            with job.scope:
                await self._run(job, headers, send)
            if job.scope.cancelled_caught:
                self.counts["cancelled"] += 1
            group.cancel_scope.cancel()

    def _refusal(self, headers, body) -> tuple[int, str] | None:
        if headers.get("x-incarnation", self.incarnation) != self.incarnation:
            return 409, "wrong_incarnation"
        version = headers.get("x-weights-version") or self.version
        if version != self.version:
            return 409, "wrong_version"
        if body.get("model") != self.model:
            return 404, "unknown_model"
        return None

    def _record_attempt(self, job: Job) -> None:
        self.counts["requests"] += 1
        self.attempts.setdefault(job.request_id, []).append(job.attempt_id)
        if len(self.attempts) > MAX_STATS_REQUESTS:
            self.attempts.popitem(last=False)
        router, _, number = job.attempt_id.rpartition("/")
        if number.isdecimal():
            known = self._highest_attempts.get(router, 0)
            self._highest_attempts[router] = max(known, int(number))

    async def _watch_caller(self, job: Job, receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        job.scope.cancel()

    async def _run(self, job: Job, headers, send) -> None:
        prompt = json.dumps(job.body.get("messages"))
        tokens = -(-len(prompt) // 4)
        self._jobs[job.attempt_id] = job
        self._queued[job.priority] += tokens
        try:
            await self._slots.acquire(job.priority)
            try:
                cached = await self._prefill(job, tokens)
                tokens, prompt_tokens = 0, tokens
                await self._generate(job, headers, send, cached, prompt_tokens)
            finally:
                self._slots.release()
        finally:
            self._queued[job.priority] -= tokens
            self._jobs.pop(job.attempt_id, None)

    async def _prefill(self, job: Job, tokens: int) -> int:
        blocks = job.body.get("prefix_blocks") or []
        version = self.version
        depth = self._cache.depth(job.salt, version, blocks)
        cached = min(tokens, depth * BLOCK_TOKENS)
        self.counts["cached_tokens"] += cached
        self.counts["prompt_tokens"] += tokens
        missing_blocks = (tokens - cached) / BLOCK_TOKENS
        if self.cfg.prefill_ms:
            await anyio.sleep(missing_blocks * self.cfg.prefill_ms / 1000)
        self._queued[job.priority] -= tokens
        self._cache.store(job.salt, version, blocks)
        return cached

    async def _generate(
        self, job: Job, headers, send, cached: int, prompt_tokens: int
    ) -> None:
        await send(_stream_start(headers))
        if self.cfg.crash_text and self.cfg.crash_text in json.dumps(
            job.body.get("messages")
        ):
            self.counts["crashes"] += 1
            return
        start = int((job.body.get("resume") or {}).get("offset", 0))
        job.resumes = start > 0
        digest = texts.prompt_digest(job.body.get("messages"), self.version)
        end = max(start, job.max_tokens)
        at = start + int(job.fault.at) if job.fault else -1
        mode = job.fault.mode if job.fault else ""
        for offset in range(start, end):
            # Sleeps also for 0 ms, so that a cancellation takes effect between
            # tokens.
            await anyio.sleep(self.cfg.token_ms / 1000)
            if offset == at and mode == "break":
                return
            if offset == at and mode == "silent":
                await anyio.sleep_forever()
            if offset == at and mode == "pause":
                await anyio.sleep(PAUSE_S)
            if offset == at and mode == "gap":
                continue
            chunk = self._chunk(job, offset, texts.token(digest, offset))
            if offset == start:
                chunk |= {"cached_tokens": cached, "load": self._load_for(job)}
            if offset == at and mode == "crossed":
                chunk["attempt_id"] = "other/1"
            line = _event(chunk)
            self.counts["tokens"] += 1
            await _send_part(send, line)
            if offset == at and mode == "repeat":
                await _send_part(send, line)
        await self._end(job, send, end, prompt_tokens, cached, mode)

    async def _end(
        self, job, send, end: int, prompt_tokens: int, cached: int, mode: str
    ) -> None:
        chunk = self._chunk(job, end, "")
        chunk["choices"][0] |= {"delta": {}, "finish_reason": "length"}
        chunk["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": end,
            "total_tokens": prompt_tokens + end,
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        chunk |= {"load": self._load_for(job), "tokens": 0}
        data = _event(chunk)
        if mode == "no_done":
            return await send({"type": "http.response.body", "body": data})
        self.counts["finished"] += 1
        await send(
            {"type": "http.response.body", "body": data + b"data: [DONE]\n\n"}
        )

    def _load_for(self, job: Job) -> dict[str, int]:
        return self.load(job.attempt_id.rpartition("/")[0])

    def _chunk(self, job: Job, offset: int, text: str) -> dict:
        delta = {"content": text}
        if offset == 0 and not job.resumes:
            delta = {"role": "assistant", "content": text}
        return {
            "id": f"chatcmpl-{job.request_id}",
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": None}],
            "request_id": job.request_id,
            "attempt_id": job.attempt_id,
            "offset": offset,
            "tokens": 1,
        }

    async def _cancel(self, receive, send) -> None:
        body = json.loads(await serving.read_body(receive))
        job = self._jobs.get(body.get("attempt_id"))
        found = job is not None and job.request_id == body.get("request_id")
        if found:
            job.scope.cancel()
        self.counts["cancel_orders"] += 1
        await serving.answer(send, 200, {"cancelled": found})

    async def _serve_feed(self, headers, receive, send) -> None:
        router = headers.get("x-router", "")
        queue = self._feed.follow()
        snapshot = {
            "type": "snapshot",
            "number": self._feed.number,
            "blocks": self._cache.hashes(),
        }
        await send(_stream_start(headers))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    _cancel_on_disconnect, group.cancel_scope, receive
                )
                group.start_soon(self._cancel_on_stop, group.cancel_scope)
                await self._send_feed_event(send, snapshot)
                await self._send_feed_events(queue, router, send)
        finally:
            self._feed.unfollow(queue)

    async def _cancel_on_stop(self, scope: anyio.CancelScope) -> None:
        await self._stopping.wait()
        scope.cancel()

    async def _send_feed_events(self, queue, router: str, send) -> None:
        next_load = 0.0
        while True:
            while queue:
                event = queue.popleft()
                if self._random.random() >= self.cfg.feed_loss:
                    await self._send_feed_event(send, event)
            now = anyio.current_time()
            if now >= next_load:
                next_load = now + LOAD_REPORT_PERIOD_S
                await self._send_feed_event(
                    send, {"type": "load", **self.load(router)}
                )
            if not queue:
                await self._feed.wait(next_load - now)

    async def _send_feed_event(self, send, event: dict) -> None:
        await _send_part(
            send, _event({**event, "incarnation": self.incarnation})
        )

    async def _order(self, headers, receive, send) -> None:
        body = json.loads(await serving.read_body(receive))
        number = int(headers.get("x-fencing-number", 0))
        if self.cfg.checks_fencing and number < self._fencing_number:
            self.counts["fenced"] += 1
            return await serving.answer(
                send, 409, {"error": {"reason": "old_fencing_number"}}
            )
        self._fencing_number = max(self._fencing_number, number)
        self.counts["orders"] += 1
        match body.get("order"):
            case "load":
                await anyio.sleep(LOAD_WEIGHTS_S)
                self.model = body.get("model", self.model)
                self.version = body.get("version", self.version)
                self._cache.clear()
            case "role":
                self.role = body.get("role", self.role)
            case _:
                return await serving.answer(send, 400, {"error": "order"})
        await serving.answer(send, 200, {"version": self.version})

    async def _move_blocks(self, path, headers, receive, send) -> None:
        body = json.loads(await serving.read_body(receive))
        salt = headers.get("x-cache-salt", "")
        blocks = [int(block) for block in body.get("blocks", [])]
        if path == "/kv/import":
            self._cache.store(salt, self.version, blocks)
        else:
            depth = self._cache.depth(salt, self.version, blocks)
            blocks = blocks[:depth]
        await serving.answer(send, 200, {"blocks": blocks})


def _echoed_headers(headers: serving.Headers) -> serving.Headers:
    names = ("x-request-id", "x-attempt-id")
    return {name: headers[name] for name in names if name in headers}


def _stream_start(headers: serving.Headers) -> dict:
    fields = {"content-type": "text/event-stream", **_echoed_headers(headers)}
    return {
        "type": "http.response.start",
        "status": 200,
        "headers": [(k.encode(), v.encode()) for k, v in fields.items()],
    }


def _event(body: dict) -> bytes:
    return b"data: " + json.dumps(body).encode() + b"\n\n"


async def _send_part(send, data: bytes) -> None:
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def _cancel_on_disconnect(scope: anyio.CancelScope, receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def main(
    *,
    id: str,
    model: str,
    version: str = "w1",
    data_centre: str = "dc1",
    routers: str = "",
    credential: str,
    seed: int = 0,
    token_ms: float = 5.0,
    prefill_ms: float = 0.0,
    slots: int = 8,
    cache_blocks: int = 256,
    checks_fencing: bool = False,
    feed_loss: float = 0.0,
    crash_text: str = "",
    fail: str = "",
    host: str = "127.0.0.1",
    port: int = 0,
) -> None:
    """Runs a stand-in model runner until SIGTERM.

    :param id: Name of the endpoint.
    :param model: Name of the model it serves.
    :param version: Version of the weights.
    :param data_centre: Data centre of the endpoint.
    :param routers: Base URLs of routers, separated by commas.
    :param credential: The shared endpoint credential.
    :param seed: Seed of the random choice of lost feed events.
    :param token_ms: Time per generated token in milliseconds.
    :param prefill_ms: Time per uncached prompt block in milliseconds.
    :param slots: Number of requests in the batch at once.
    :param cache_blocks: Capacity of the prefix cache in blocks.
    :param checks_fencing: Refuse orders with outdated fencing numbers.
    :param feed_loss: Fraction of the cache events that is lost, 0 to 1.
    :param crash_text: Text in a prompt at which the answer breaks off at once.
    :param fail: Fault injected into the first requests, `mode[:at[:times]]`.
    :param host: IP address to listen on.
    :param port: Port to listen on; 0 lets the kernel choose.
    """
    runner = Runner(
        RunnerConfig(
            *(id, model, version, data_centre, credential, seed),
            *(token_ms, prefill_ms, slots, cache_blocks),
            *(checks_fencing, feed_loss, crash_text),
        )
    )
    runner.faults.add(parse_fault(fail))
    listener = serving.open_listener(host, port)
    runner.url = serving.base_url(listener)
    announcer = serving.Announcer(
        [url for url in routers.split(",") if url], credential, runner.describe
    )
    anyio.run(
        serving.run_endpoint,
        runner,
        listener,
        announcer,
        runner.leave,
        runner.stop,
    )


if __name__ == "__main__":
    defopt.run(main)
