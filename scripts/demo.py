"""Shows the whole path: three members, two routers, runners and a desk."""

import hashlib
import json
import signal
import sys
import time

import httpx

from standins.deployment import CREDENTIAL, Deployment

KEY = "counter-tablet-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
RULES = f"""\
model guide version=w1 first_token=2.0  # asked by Tesfaye: chat assistant
service booking once=/deposits timeout=3  # asked by Hirut: deposits
customer counter key=sha256:{DIGEST} class=guest rate=100  # asked by Almaz
"""
MORE_RULES = RULES + "service desk2 timeout=2  # asked by Hirut: second desk\n"
PROMPT = "Which route leads to the Sanetti plateau? " * 20
HEADERS = {"authorization": f"Bearer {KEY}"}


def step(text: str) -> None:
    """Prints a heading."""
    print(f"\n== {text}", flush=True)


def check(condition: bool, text: str) -> None:
    """Ends the demo if something is not as it should be."""
    if not condition:
        raise SystemExit(f"demo failed: {text}")


def stream_chat(url: str, max_tokens: int, on_chunk=None) -> tuple[str, bool]:
    """Streams one answer; returns its text and whether it ended properly."""
    body = {
        "model": "guide",
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    text, ended = "", False
    with httpx.stream(
        "POST",
        f"{url}/v1/chat/completions",
        json=body,
        headers=HEADERS,
        timeout=20,
    ) as answer:
        if answer.status_code != 200:
            answer.read()
            raise SystemExit(f"demo failed: {answer.text}")
        for line in answer.iter_lines():
            if line == "data: [DONE]":
                ended = True
            elif line.startswith("data: "):
                chunk = json.loads(line[6:])
                for choice in chunk.get("choices", []):
                    text += choice.get("delta", {}).get("content") or ""
                if on_chunk:
                    on_chunk(text)
    return text, ended


def tool(cluster: Deployment, *arguments: str) -> str:
    """Runs the command-line tool and prints what it prints."""
    done = cluster.tool(*arguments)
    print(f"$ knapweedarch {' '.join(arguments)}\n{done.stdout}", end="")
    check(done.returncode == 0, f"{arguments[0]}: {done.stderr}")
    return done.stdout


def start(cluster: Deployment) -> None:
    """Starts all processes and puts the first rule file in force."""
    for member in cluster.members:
        cluster.start_member(member["name"])
    tool(cluster, "form")
    for name in ("router-1", "router-2"):
        cluster.start_router(name)
    rules = cluster.folder / "rules.txt"
    rules.write_text(RULES)
    tool(cluster, "check", str(rules))
    tool(cluster, "apply", str(rules))
    for i in (1, 2, 3):
        cluster.start_runner(
            f"runner-{i}", "guide", data_centre=f"dc-{i}", token_ms=10
        )
    cluster.start_service("desk-1", "booking", data_centre="dc-1")
    for name in ("router-1", "router-2"):
        cluster.wait_ready(name)
    cluster.wait_for("endpoints known", lambda: endpoints(cluster) == 4)


def endpoints(cluster: Deployment) -> int:
    """Counts the endpoints that the members know."""
    done = cluster.tool("list", "--json")
    return len(json.loads(done.stdout)["endpoints"]) if done.stdout else 0


def deposit(cluster: Deployment, router: str) -> httpx.Response:
    """Takes a deposit under a fixed idempotency key."""
    return httpx.post(
        f"{cluster.url(router)}/services/booking/deposits",
        json={"guest": "R. Haile", "amount": 400},
        headers={**HEADERS, "idempotency-key": "deposit-17"},
        timeout=10,
    )


def show_deposit(cluster: Deployment) -> None:
    """Sends one deposit through both routers."""
    first, second = (deposit(cluster, r) for r in ("router-1", "router-2"))
    print(first.status_code, first.text)
    print(second.status_code, second.text)
    check(first.status_code == 200, "the deposit was refused")
    check(first.content == second.content, "the answers differ")
    stats = httpx.get(f"{cluster.url('desk-1')}/stats").json()
    print(f"desk counted: {stats}")
    check(sum(stats["runs"].values()) == 1, "the desk ran it more than once")


def show_killed_runner(cluster: Deployment, whole: str) -> None:
    """Kills the runner that streams, and compares the caller's text."""
    killed = []

    def kill_in_mid_stream(text: str) -> None:
        if killed or len(text) < len(whole) // 3:
            return
        for name in [n for n in cluster.processes if n.startswith("runner")]:
            stats = httpx.get(f"{cluster.url(name)}/stats").json()
            if stats["running"]:
                cluster.kill(name)
                killed.append(name)
                return

    text, ended = stream_chat(cluster.url("router-1"), 120, kill_in_mid_stream)
    print(f"killed {killed}; the caller got {len(text)} characters")
    check(bool(killed), "no runner was killed in mid-stream")
    check(ended and text == whole, "the text is not whole")


def show_drain(cluster: Deployment) -> None:
    """Retires a runner and shows that it gets no new work."""
    tool(cluster, "retire", "runner-1")
    before = httpx.get(f"{cluster.url('runner-1')}/stats").json()["runs"]
    for _ in range(6):
        for router in ("router-1", "router-2"):
            _, ended = stream_chat(cluster.url(router), 5)
            check(ended, "a stream was cut after retire")
    after = httpx.get(f"{cluster.url('runner-1')}/stats").json()["runs"]
    print(f"runner-1 ran {before} before and {after} after 12 more requests")
    check(before == after, "a retired runner got new work")


def run(cluster: Deployment) -> None:
    """Runs all steps."""
    step("3 members, 2 routers, 3 runners and a desk as separate processes")
    start(cluster)
    step("A streamed answer")
    whole, ended = stream_chat(cluster.url("router-1"), 120)
    print(whole[:70] + " ...")
    check(ended and bool(whole), "the stream did not end properly")
    step("A deposit sent twice, taken once")
    show_deposit(cluster)
    step("A rule change, in force at every router when the tool returns")
    rules = cluster.folder / "rules2.txt"
    rules.write_text(MORE_RULES)
    tool(cluster, "diff", str(rules))
    started = time.monotonic()
    tool(cluster, "apply", str(rules))
    print(f"in force after {time.monotonic() - started:.2f} s")
    step("A retired runner gets no new work")
    show_drain(cluster)
    step("A runner killed in mid-stream; the caller does not notice")
    show_killed_runner(cluster, whole)
    step("Status and counters")
    tool(cluster, "status")
    answer = httpx.get(
        f"{cluster.url('router-1')}/counters",
        headers={"authorization": f"Bearer {CREDENTIAL}"},
    )
    check(answer.status_code == 200, "the counters were not shown")
    print(json.dumps(answer.json(), indent=1))
    step("Planned stop")
    codes = {
        name: cluster.stop(name) for name in ("desk-1", "router-1", "router-2")
    }
    print(f"exit codes: {codes}")
    check(set(codes.values()) == {0}, "a process did not stop cleanly")


def main() -> int:
    """Runs the demo; returns the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started = time.monotonic()
    with Deployment() as cluster:
        run(cluster)
    print(f"\ndemo passed in {time.monotonic() - started:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
