"""Steps that run a deployment of separate processes on loopback."""

import concurrent.futures
import hashlib
import itertools
import json
import re
import resource
import shutil
import signal
import threading
import time

import anyio
import httpx
from behave import given, then, when

from knapweedarch import control
from knapweedarch.exceptions import ControlError
from knapweedarch.state import PutRules, Retire
from knapweedarch.timers import Clock
from standins.deployment import CREDENTIAL, Deployment
from standins.relay import Relay

KEY = "counter-tablet-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
HEADERS = {"authorization": f"Bearer {KEY}"}
BASE_RULES = """\
model guide version=w1 first_token=5.0  # asked by Tesfaye: chat assistant
service booking once=/deposits timeout=3  # asked by Hirut: deposits
"""
CUSTOMER = (
    f"customer counter key=sha256:{DIGEST} class=guest"
    "  # asked by Almaz: desk\n"
)
CHANGE_LIMIT_S = 15.0
TOKEN_MS = 10


def call_members(cluster, call):
    """Runs `call` with a control client and returns its result."""
    members = [control.MemberAddress(**m) for m in cluster.members]

    async def run():
        client = control.create_control_client(
            members, CREDENTIAL.encode(), Clock()
        )
        async with client:
            return await call(client)

    return anyio.run(run)


def submit(cluster, command):
    """Submits an operator's command; returns result and duration in seconds."""
    started = time.monotonic()
    result = call_members(
        cluster, lambda client: client.submit(command, CHANGE_LIMIT_S)
    )
    return result, time.monotonic() - started


def status(cluster):
    """Returns the leader's status."""
    return call_members(cluster, lambda client: client.status(10))


def chat(cluster, router, max_tokens=5, **options):
    """Sends a chat request that is not streamed."""
    return httpx.post(
        f"{cluster.url(router)}/v1/chat/completions",
        json={
            "model": "guide",
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": "Which route? " * 50}],
            **options,
        },
        headers=HEADERS,
        timeout=20,
    )


def deposit(cluster, router, key):
    """Sends a deposit with an idempotency key."""
    return httpx.post(
        f"{cluster.url(router)}/services/booking/deposits",
        json={"amount": 400, "key": key},
        headers={**HEADERS, "idempotency-key": key},
        timeout=30,
    )


def read_desk_runs(cluster):
    """Returns the number of runs per idempotency key at the desk."""
    return httpx.get(f"{cluster.url('desk-1')}/stats").json()["runs"]


def start_all(pool, start, names):
    """Starts several processes concurrently."""
    return list(pool.map(start, names))


@given("a running deployment")
def start_default_deployment(context):
    start_deployment(context, Deployment())


@given("a running deployment whose routers may lose their paths to endpoints")
def start_cuttable_deployment(context):
    start_deployment(context, Deployment(can_cut=True))


def start_deployment(context, cluster):
    """Starts all processes and waits until each router serves."""
    context.cluster = cluster
    context.closing.append(lambda: cluster.__exit__(None, None, None))
    with concurrent.futures.ThreadPoolExecutor() as pool:
        start_all(
            pool, cluster.start_member, [m["name"] for m in cluster.members]
        )
        start_all(pool, cluster.start_router, ("router-1", "router-2"))
        start_endpoints(pool, cluster)
    members = [control.MemberAddress(**m) for m in cluster.members]
    call_members(cluster, lambda client: client.form(members))
    submit(cluster, PutRules("setup", 0, BASE_RULES + CUSTOMER))
    for router in ("router-1", "router-2"):
        cluster.wait_ready(router)
    cluster.wait_for("endpoints", lambda: len(status(cluster).endpoints) == 3)
    for router in ("router-1", "router-2"):
        cluster.wait_for("chat", lambda r=router: chat(cluster, r).is_success)
        cluster.wait_for(
            "desk", lambda r=router: deposit(cluster, r, f"warm-{r}").is_success
        )


def start_endpoints(pool, cluster):
    """Starts two runners and a desk concurrently."""
    runners = [
        pool.submit(
            *(cluster.start_runner, f"runner-{i}", "guide"),
            data_centre=f"dc-{i}",
            token_ms=TOKEN_MS,
        )
        for i in (1, 2)
    ]
    desk = pool.submit(
        cluster.start_service, "desk-1", "booking", data_centre="dc-1"
    )
    for future in (*runners, desk):
        future.result()


@given("{router} is frozen")
def freeze_process(context, router):
    if router == "the leader":
        router = context.frozen = status(context.cluster).leader
    context.cluster.send_signal(router, signal.SIGSTOP)


@when("{count:d} requests are sent to {router} before it continues")
def send_to_frozen_router(context, count, router):
    """Sends requests to a frozen router, then continues it with SIGCONT.

    The router finds the requests together with messages that wait on its
    control links, so it must reject them because its lease has expired, not
    because it has read newer rules.
    """
    cluster = context.cluster
    pool = concurrent.futures.ThreadPoolExecutor(count)
    context.closing.append(pool.shutdown)
    url = cluster.url(router)
    before = count_connections(url)
    context.waiting_requests = [
        pool.submit(chat, cluster, router) for _ in range(count)
    ]
    cluster.wait_for(
        "connections", lambda: count_connections(url) >= before + count
    )
    cluster.send_signal(router, signal.SIGCONT)


def count_connections(url):
    """Counts the established connections of a listener in /proc/net/tcp."""
    address = httpx.URL(url)
    parts = reversed(address.host.split("."))
    wanted = "".join(f"{int(p):02X}" for p in parts) + f":{address.port:04X}"
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table][1:]
    return sum(row[2] == wanted and row[3] == "01" for row in rows)


@when("the frozen leader continues")
def continue_leader(context):
    context.cluster.send_signal(context.frozen, signal.SIGCONT)


@when("an operator applies rules without the customer")
def apply_rules_without_customer(context):
    context.result, context.duration_s = submit(
        context.cluster, PutRules("without", 1, BASE_RULES)
    )


@then("the change is in force within {bound:f} s")
def check_in_force(context, bound):
    assert context.result.version == 2, context.result
    assert context.duration_s <= bound, context.duration_s


@then("none of them is served for the removed customer")
def check_none_served(context):
    for answer in [future.result() for future in context.waiting_requests]:
        assert answer.status_code in (401, 503), answer.text
        assert answer.json()["error"]["outcome"] == "not_run"


@then("{router} has applied the new rules within {bound:f} s")
def check_rules_applied(context, router, bound):
    context.cluster.wait_for(
        "new rules",
        lambda: chat(context.cluster, router).status_code == 401,
        bound,
    )


@then(
    "the status shows the new rules and no request is served for the customer"
)
def check_new_rules(context):
    assert status(context.cluster).rules_version == 2
    for router in ("router-1", "router-2"):
        assert chat(context.cluster, router).status_code == 401


@when(
    "{count:d} deposits are sent, each through both routers, while the leader"
    " is killed"
)
def send_deposits_during_kill(context, count):
    cluster = context.cluster
    leader = status(cluster).leader
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        answers = [
            (f"k{i}", pool.submit(deposit, cluster, router, f"k{i}"))
            for i in range(count)
            for router in ("router-1", "router-2")
        ]
        answers[0][1].result()
        cluster.kill(leader)
        context.answers = [(key, f.result()) for key, f in answers]


@then("the desk ran no deposit twice")
def check_no_deposit_twice(context):
    runs = read_desk_runs(context.cluster)
    assert all(n == 1 for n in runs.values()), runs


@then("every answered deposit was run exactly once")
def check_answered_once(context):
    runs = read_desk_runs(context.cluster)
    answered = {k for k, answer in context.answers if answer.is_success}
    assert answered, [a.text for _, a in context.answers]
    assert all(runs[key] == 1 for key in answered), runs
    for key, answer in context.answers:
        if not answer.is_success:
            outcome = answer.json()["error"]["outcome"]
            # After an answer with not_run, the request through the other router
            # may still have run the call.
            assert outcome in ("not_run", "unknown"), answer.text
            assert key in answered or outcome == "unknown" or key not in runs


@given("a deposit was taken through {router}")
def take_deposit(context, router):
    context.first = deposit(context.cluster, router, "d1")
    assert context.first.is_success, context.first.text


@when("every member and router is killed and started again")
def restart_all(context):
    cluster = context.cluster
    daemons = {
        name: cluster.processes[name].port
        for name in list(cluster.processes)
        if name.startswith(("member", "router"))
    }
    for name in daemons:
        cluster.kill(name)
    context.restarted_at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor() as pool:
        started = [
            pool.submit(cluster.start_member, name)
            if name.startswith("member")
            else pool.submit(cluster.start_router, name, port)
            for name, port in daemons.items()
        ]
        for future in started:
            future.result()


@then("{router} serves a chat request within {bound:f} s of its start")
def check_chat_after_restart(context, router, bound):
    context.cluster.wait_for(
        "chat", lambda: chat(context.cluster, router).is_success
    )
    taken = time.monotonic() - context.restarted_at
    assert taken <= bound, taken


@then("a resend of the deposit through {router} returns the first answer")
def check_resend(context, router):
    context.cluster.wait_ready(router)
    again = deposit(context.cluster, router, "d1")
    assert again.content == context.first.content, again.text
    assert read_desk_runs(context.cluster)["d1"] == 1


@when("a follower loses its disk and is replaced")
def lose_disk(context):
    cluster = context.cluster
    found = status(cluster)
    context.followers = [m for m in found.members if m.name != found.leader]
    lost = context.followers[0]
    cluster.kill(lost.name)
    shutil.rmtree(cluster.folder / f"data-{lost.name}")
    cluster.start_member(lost.name)

    def replaced():
        members = status(cluster).members
        return (
            len(members) == 3
            and all(m.voter for m in members)
            and lost.identity not in {m.identity for m in members}
        )

    cluster.wait_for("replacement", replaced)


@when("the other follower is killed")
def kill_other_follower(context):
    context.cluster.kill(context.followers[1].name)


def limit_files(cluster, name, size):
    """Limits the files that a process may write, as a full disk would."""
    pid = cluster.processes[name].popen.pid
    _, most = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, most))


@when("the disk of the leader is full")
def fill_disk_of_leader(context):
    context.full = [status(context.cluster).leader]
    fill_disks(context)


@when("the disk of a follower is full")
def fill_disk_of_follower(context):
    found = status(context.cluster)
    followers = (m.name for m in found.members if m.name != found.leader)
    context.full = [min(followers)]
    fill_disks(context)


@when("the disks of all members are full")
def fill_all_disks(context):
    context.full = [m["name"] for m in context.cluster.members]
    fill_disks(context)


def fill_disks(context):
    for name in context.full:
        limit_files(context.cluster, name, 0)


def wait_for_space(cluster, names):
    """Returns those of the members that wait for space."""
    gauge = "journal_waits_for_space 1.0"
    return [n for n in names if gauge in cluster.metrics_page(n)]


@then("{count:d} members run on and wait for space")
@then("{count:d} member runs on and waits for space")
def check_runs_on(context, count):
    cluster = context.cluster
    check_all_run(cluster)
    cluster.wait_for(
        "waits", lambda: len(wait_for_space(cluster, context.full)) == count
    )
    check_all_run(cluster)


def check_all_run(cluster):
    for member in cluster.members:
        code = cluster.processes[member["name"]].popen.poll()
        assert code is None, f"{member['name']} ended with code {code}"


@then("a change has an unknown outcome")
def check_unknown_outcome(context):
    async def change(client):
        try:
            await client.submit(PutRules("x", 1, BASE_RULES), 3.0)
        except ControlError as exc:
            return exc.reason

    reason = call_members(context.cluster, change)
    assert reason == "unknown_outcome", reason


@when("the disk has space and another member is killed")
def clear_disk_and_kill(context):
    cluster, full = context.cluster, context.full
    limit_files(cluster, full[0], resource.RLIM_INFINITY)
    cluster.wait_for("space", lambda: not wait_for_space(cluster, full))
    check_all_run(cluster)
    names = [m["name"] for m in cluster.members]
    cluster.kill(next(n for n in names if n not in full))


@then("the log told once of the full disk and once of the space")
def check_wait_logged(context):
    text = (context.cluster.folder / f"{context.full[0]}.log").read_text()
    for event in ("journal_full", "journal_has_space"):
        assert text.count(f'"{event}"') == 1, text[-2000:]


@when("the disks of two members have space")
def clear_two_disks(context):
    for name in context.full[:2]:
        limit_files(context.cluster, name, resource.RLIM_INFINITY)


@then("an operator gives the customer back within {bound:f} s")
def give_customer_back(context, bound):
    started = time.monotonic()
    version = status(context.cluster).rules_version
    change = PutRules("back", version, BASE_RULES + CUSTOMER)
    result, _ = submit(context.cluster, change)
    duration_s = time.monotonic() - started
    assert result.version == version + 1, result
    assert duration_s <= bound, duration_s


@given("a stream of {tokens:d} tokens runs through {router}")
def start_stream(context, tokens, router):
    reference = chat(context.cluster, router, tokens)
    context.expected_text = reference.json()["choices"][0]["message"]["content"]
    started = threading.Event()
    context.pool = concurrent.futures.ThreadPoolExecutor(1)
    context.closing.append(context.pool.shutdown)
    context.stream = context.pool.submit(
        read_stream, context.cluster.url(router), tokens, started
    )
    assert started.wait(10)


def read_stream(url, tokens, started):
    """Reads a stream; returns its text and whether it ended with [DONE]."""
    text, ended = "", False
    body = {
        "model": "guide",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "Which route? " * 50}],
    }
    with httpx.stream(
        *("POST", f"{url}/v1/chat/completions"),
        json=body,
        headers=HEADERS,
        timeout=20,
    ) as answer:
        for line in answer.iter_lines():
            if line == "data: [DONE]":
                ended = True
            elif line.startswith("data: "):
                for choice in json.loads(line[6:]).get("choices", []):
                    text += choice.get("delta", {}).get("content") or ""
            if len(text) > 20:
                started.set()
    return text, ended


@when("{router} is stopped gracefully")
def stop_router(context, router):
    context.exit_code = context.cluster.stop(router)


@then("the stream is complete")
def check_stream(context):
    text, ended = context.stream.result(30)
    assert ended, text[-100:]
    assert text == context.expected_text, (text, context.expected_text)


@then("{router} exited with code {code:d}")
def check_exit_code(context, router, code):
    assert context.exit_code == code, context.exit_code


@when("an operator retires {endpoint}")
def retire_endpoint(context, endpoint):
    submit(context.cluster, Retire("retire-1", endpoint))
    context.runs_before = read_runner_runs(context.cluster, endpoint)


def read_runner_runs(cluster, name):
    """Returns the number of requests that a runner has run."""
    return httpx.get(f"{cluster.url(name)}/stats").json()["runs"]


@then("{count:d} more requests through each router run on the other runner")
def check_runs_elsewhere(context, count):
    cluster = context.cluster
    for router in ("router-1", "router-2"):
        for _ in range(count):
            answer = chat(cluster, router)
            assert answer.is_success, answer.text
    assert read_runner_runs(cluster, "runner-1") == context.runs_before


@when("the runner that serves the stream is killed")
def kill_serving_runner(context):
    cluster = context.cluster
    serving = [
        name
        for name in ("runner-1", "runner-2")
        if httpx.get(f"{cluster.url(name)}/stats").json()["running"]
    ]
    assert len(serving) == 1, serving
    cluster.kill(serving[0])


@given("a router whose control links pass through a relay")
def start_relayed_router(context):
    cluster = context.cluster
    context.relays = [
        Relay(cluster.host, (m["host"], m["port"])) for m in cluster.members
    ]
    for relay in context.relays:
        context.closing.append(lambda r=relay: r.__exit__(None, None, None))
    through = [
        {**m, "port": relay.port}
        for m, relay in zip(cluster.members, context.relays, strict=True)
    ]
    cluster.start_router("router-3", members=through)
    cluster.wait_ready("router-3")


@when("the relay stops forwarding on open connections")
def silence_relays(context):
    assert sum(relay.silence() for relay in context.relays) > 0
    context.silenced_at = time.monotonic()


@then("that router is ready again within {bound:f} s")
def check_ready_again(context, bound):
    # A router that opens no new link stays ready until its lease expires, so
    # its readiness is polled until the limit and the last result counts.
    until = time.monotonic() + bound
    cluster = context.cluster
    cluster.wait_ready("router-3", bound)
    while time.monotonic() < until:
        last = httpx.get(f"{cluster.url('router-3')}/ready").status_code
    assert last == 200, last


@when("the relay blocks all traffic")
def partition_relays(context):
    for relay in context.relays:
        relay.set_partitioned(True)


@when("the relay forwards all traffic again")
def restore_relays(context):
    for relay in context.relays:
        relay.set_partitioned(False)


@then("{count:d} requests to that router are refused as {reason}")
def check_refused(context, count, reason):
    for _ in range(count):
        answer = chat(context.cluster, "router-3")
        assert answer.status_code == 503, answer.text
        error = answer.json()["error"]
        assert (error["reason"], error["outcome"]) == (reason, "not_run")


@when(
    "the rules name version {version} and requests go on through both routers"
)
def roll_out_weights(context, version):
    cluster = context.cluster
    stop = threading.Event()
    context.answers = []

    def send_until_stopped(router):
        while not stop.is_set():
            context.answers.append(chat(cluster, router, 3))

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        for router in ("router-1", "router-2"):
            pool.submit(send_until_stopped, router)
        text = (BASE_RULES + CUSTOMER).replace("w1", version)
        submit(cluster, PutRules("roll-out", 1, text))
        started = time.monotonic()
        try:
            cluster.wait_for(
                "roll-out", lambda: read_weights_versions(cluster) == {version}
            )
        finally:
            stop.set()
        context.duration_s = time.monotonic() - started


def read_weights_versions(cluster):
    """Returns the weights versions that the runners announce."""
    return {
        entry.endpoint.weights_version
        for entry in status(cluster).endpoints
        if entry.endpoint.kind == "runner"
    }


@then("every request was answered")
def check_all_answered(context):
    assert context.answers
    failed = [a.text for a in context.answers if not a.is_success]
    assert not failed, failed


@then("every runner announces {version} within {bound:f} s")
def check_announced(context, version, bound):
    assert read_weights_versions(context.cluster) == {version}
    assert context.duration_s <= bound, context.duration_s


@given("a router with a limit of {count:d} concurrent requests")
def start_small_router(context, count):
    context.cluster.start_router("router-3", max_streams=count)
    context.cluster.wait_ready("router-3")


@when("{count:d} concurrent streams are started through it")
def start_streams(context, count):
    cluster = context.cluster
    context.probes = []
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        streams = [
            pool.submit(chat, cluster, "router-3", 300) for _ in range(count)
        ]
        while not all(stream.done() for stream in streams):
            ready = httpx.get(f"{cluster.url('router-3')}/ready")
            taken = deposit(cluster, "router-3", "during-streams")
            context.probes += [ready.status_code, taken.status_code]
    context.answers = [stream.result() for stream in streams]


@then(
    "{complete:d} of them are complete and {refused:d} are refused as {reason}"
)
def check_stream_results(context, complete, refused, reason):
    failed = [a for a in context.answers if not a.is_success]
    assert len(context.answers) - len(failed) == complete, context.answers
    assert len(failed) == refused, context.answers
    for answer in failed:
        error = answer.json()["error"]
        assert (error["reason"], error["outcome"]) == (reason, "not_run")
        assert answer.headers["retry-after"]


@then("it answered each readiness check and deposit meanwhile")
def check_probes(context):
    assert context.probes and set(context.probes) == {200}, context.probes


def send_balanced(cluster, send):
    """Sends a request to a ready router, as a load balancer does."""
    while True:
        for router in ("router-1", "router-2"):
            try:
                url = cluster.url(router)
                if httpx.get(f"{url}/ready").status_code != 200:
                    continue
            except (KeyError, httpx.TransportError):
                continue
            try:
                return send(cluster, router)
            except httpx.ConnectError:
                # The router is down, and nothing was sent.
                continue


@when(
    "every member and router is stopped and started in turn while requests go"
    " on"
)
def rolling_restart(context):
    cluster, stop = context.cluster, threading.Event()
    context.answers = []

    def send_until_stopped(name):
        number = 0
        while not stop.is_set():
            number += 1
            key = f"{name}-{number}"
            context.answers += [
                send_balanced(cluster, lambda c, r: chat(c, r, 20)),
                send_balanced(cluster, lambda c, r, k=key: deposit(c, r, k)),
            ]

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        senders = [pool.submit(send_until_stopped, name) for name in "ab"]
        try:
            restart_in_turn(cluster)
        finally:
            stop.set()
        for future in senders:
            future.result()


def restart_in_turn(cluster):
    """Restarts each router and member in turn, waiting until each works."""
    for router in ("router-1", "router-2"):
        port = cluster.processes[router].port
        assert cluster.stop(router) == 0
        cluster.start_router(router, port)
        cluster.wait_ready(router)
    for member in cluster.members:
        assert cluster.stop(member["name"]) == 0
        cluster.start_member(member["name"])
        status(cluster)


@when("the metrics of {member} and {router} are fetched")
def fetch_metrics(context, member, router):
    def pages():
        return [context.cluster.metrics_page(n) for n in (member, router)]

    context.pages = pages()


@then('they hold "{of_member}" and "{of_router}"')
def check_metrics_pages(context, of_member, of_router):
    for page, name in zip(context.pages, (of_member, of_router), strict=True):
        assert f"# TYPE {name} gauge" in page, page[:500]


@then('the log of {name} holds JSON lines with "{event}"')
def check_log(context, name, event):
    text = (context.cluster.folder / f"{name}.log").read_text()
    lines = [json.loads(x) for x in text.splitlines() if x.startswith("{")]
    assert event in {line["event_name"] for line in lines}


# More than a block of the prompt.
BLOCK_BYTES = 10_000
HELD_LIMIT_S = 20.0


def ask_with_text(cluster, router, text, number):
    """Sends a chat request whose first block consists of a text."""
    content = f"{(text * BLOCK_BYTES)[:BLOCK_BYTES]} {number}"
    messages = [{"role": "user", "content": content}]
    return chat(cluster, router, messages=messages)


def is_held(answer):
    """Returns whether a request was refused because a block is held back."""
    return answer.status_code == 503 and (
        answer.json()["error"]["reason"] == "part_held"
    )


@given(
    'the runners are replaced by {count:d} that crash on prompts with "{text}"'
)
def replace_runners(context, count, text):
    cluster = context.cluster
    for name in [n for n in cluster.processes if n.startswith("runner")]:
        cluster.stop(name)
    for number in range(count):
        cluster.start_runner(f"crashing-{number}", "guide", crash_text=text)

    def serves():
        return ask_with_text(cluster, "router-2", "sound", 0).is_success

    cluster.wait_for("the new runners serve", serves)


@when('prompts with "{text}" are sent through {router} until one is held back')
def send_until_held(context, text, router):
    deadline = time.monotonic() + HELD_LIMIT_S
    answers = []
    for number in itertools.count(1):
        assert time.monotonic() < deadline, f"not held back: {answers}"
        answer = ask_with_text(context.cluster, router, text, number)
        if is_held(answer):
            return
        answers.append((answer.status_code, answer.text[:80]))
        time.sleep(0.3)


def wait_until_held(cluster, router):
    """Waits until a router knows of a request or block that is held back."""

    def knows():
        page = cluster.metrics_page(router)
        return re.search(r"^knapweedarch_parts_held_total [1-9]", page, re.M)

    cluster.wait_for("the router knows what is held back", knows)


@then('{router} holds a prompt with "{text}" back at the first request')
def check_held(context, router, text):
    cluster = context.cluster
    wait_until_held(cluster, router)
    answer = ask_with_text(cluster, router, text, "other")
    assert is_held(answer), answer.text


@then('{router} answers a prompt with "{text}"')
def check_answered(context, router, text):
    answer = ask_with_text(context.cluster, router, text, 1)
    assert answer.is_success, answer.text


def call_with_text(cluster, router, text, number):
    """Sends a call with a key of its own and a text as its body."""
    return httpx.post(
        f"{cluster.url(router)}/services/booking/deposits",
        json={"note": text},
        headers={**HEADERS, "idempotency-key": f"{router}-{text}-{number}"},
        timeout=30,
    )


@given('the desk is replaced by {count:d} that crash on calls with "{text}"')
def replace_desk(context, count, text):
    cluster = context.cluster
    cluster.stop("desk-1")
    context.desks = [
        cluster.start_service(f"desk-{n}", "booking", crash_text=text)
        for n in range(2, count + 2)
    ]

    def serves():
        numbers = range(2 * count)
        answers = [
            call_with_text(cluster, "router-2", f"sound {n}", n)
            for n in numbers
        ]
        return all(answer.is_success for answer in answers)

    cluster.wait_for("the new desks serve", serves)


@when('calls with "{text}" are sent through {router} until one is held back')
def call_until_held(context, text, router):
    deadline = time.monotonic() + HELD_LIMIT_S
    for number in itertools.count(1):
        assert time.monotonic() < deadline, "no call was held back"
        if is_held(call_with_text(context.cluster, router, text, number)):
            return
        time.sleep(1.5)


@then("at most {most:d} desks have ended")
def check_ended_desks(context, most):
    ended = [d for d in context.desks if d.popen.poll() is not None]
    assert 1 <= len(ended) <= most, len(ended)


@then('{router} holds a call with "{text}" back at the first request')
def check_call_held(context, router, text):
    cluster = context.cluster
    wait_until_held(cluster, router)
    answer = call_with_text(cluster, router, text, "other")
    assert is_held(answer), answer.text


@then('{router} answers a call with "{text}"')
def check_call_answered(context, router, text):
    answer = call_with_text(context.cluster, router, text, 1)
    assert answer.is_success, answer.text
