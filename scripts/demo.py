"""End-to-end demo: three members, two routers, runners and a desk service."""

import hashlib
import json
import signal
import sys
import time

import httpx

from standins.deployment import CREDENTIAL, Deployment

KEY = "counter-tablet-key"
KEY_DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
RULES = f"""\
model guide version=w1 first_token=2.0  # asked by Tesfaye: chat assistant
service booking once=/deposits timeout=3  # asked by Hirut: deposits
customer counter key=sha256:{KEY_DIGEST} class=guest rate=100  # asked by Almaz
"""
EXTENDED_RULES = (
    RULES + "service desk2 timeout=2  # asked by Hirut: second desk\n"
)
PROMPT = "Which route leads to the Sanetti plateau? " * 20
HEADERS = {"authorization": f"Bearer {KEY}"}


def print_heading(text: str) -> None:
    """Prints the heading of a part of the demo."""
    print(f"\n== {text}", flush=True)


def check(condition: bool, text: str) -> None:
    """Ends the demo with an error if a condition is not met."""
    if not condition:
        raise SystemExit(f"demo failed: {text}")


def stream_chat(url: str, max_tokens: int, on_chunk=None) -> tuple[str, bool]:
    """Streams one answer; returns its text and whether [DONE] arrived.

    After each chunk, `on_chunk` is called with the text so far.
    """
    body = {
        "model": "guide",
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    text, completed = "", False
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
                completed = True
            elif line.startswith("data: "):
                chunk = json.loads(line[6:])
                for choice in chunk.get("choices", []):
                    text += choice.get("delta", {}).get("content") or ""
                if on_chunk:
                    on_chunk(text)
    return text, completed


def run_tool(cluster: Deployment, *arguments: str) -> str:
    """Runs the command-line tool and prints its output."""
    done = cluster.tool(*arguments)
    print(f"$ knapweedarch {' '.join(arguments)}\n{done.stdout}", end="")
    check(done.returncode == 0, f"{arguments[0]}: {done.stderr}")
    return done.stdout


def start_deployment(cluster: Deployment) -> None:
    """Starts all processes and applies the first rule file."""
    for member in cluster.members:
        cluster.start_member(member["name"])
    run_tool(cluster, "form")
    for name in ("router-1", "router-2"):
        cluster.start_router(name)
    rules = cluster.folder / "rules.txt"
    rules.write_text(RULES)
    run_tool(cluster, "check", str(rules))
    run_tool(cluster, "apply", str(rules))
    for i in (1, 2, 3):
        cluster.start_runner(
            f"runner-{i}", "guide", data_centre=f"dc-{i}", token_ms=10
        )
    cluster.start_service("desk-1", "booking", data_centre="dc-1")
    for name in ("router-1", "router-2"):
        cluster.wait_ready(name)
    cluster.wait_for("endpoints known", lambda: count_endpoints(cluster) == 4)


def count_endpoints(cluster: Deployment) -> int:
    """Counts the endpoints that the members know."""
    done = cluster.tool("list", "--json")
    return len(json.loads(done.stdout)["endpoints"]) if done.stdout else 0


def post_deposit(cluster: Deployment, router: str) -> httpx.Response:
    """Posts a deposit with a fixed idempotency key."""
    return httpx.post(
        f"{cluster.url(router)}/services/booking/deposits",
        json={"guest": "R. Haile", "amount": 400},
        headers={**HEADERS, "idempotency-key": "deposit-17"},
        timeout=10,
    )


def show_deposit(cluster: Deployment) -> None:
    """Sends one deposit through both routers and checks that it ran once."""
    first, second = (post_deposit(cluster, r) for r in ("router-1", "router-2"))
    print(first.status_code, first.text)
    print(second.status_code, second.text)
    check(first.status_code == 200, "the deposit was refused")
    check(first.content == second.content, "the answers differ")
    stats = httpx.get(f"{cluster.url('desk-1')}/stats").json()
    print(f"desk counted: {stats}")
    check(sum(stats["runs"].values()) == 1, "the desk ran it more than once")


def show_killed_runner(cluster: Deployment, expected_text: str) -> None:
    """Kills the runner of a stream and checks that the text is complete."""
    killed = []

    def kill_streaming_runner(text: str) -> None:
        if killed or len(text) < len(expected_text) // 3:
            return
        for name in [n for n in cluster.processes if n.startswith("runner")]:
            stats = httpx.get(f"{cluster.url(name)}/stats").json()
            if stats["running"]:
                cluster.kill(name)
                killed.append(name)
                return

    text, completed = stream_chat(
        cluster.url("router-1"), 120, kill_streaming_runner
    )
    print(f"killed {killed}; the caller got {len(text)} characters")
    check(bool(killed), "no runner was killed during the stream")
    check(
        completed and text == expected_text, "the text is incomplete or differs"
    )


def show_retirement(cluster: Deployment) -> None:
    """Retires a runner and checks that it receives no new requests."""
    run_tool(cluster, "retire", "runner-1")
    before = httpx.get(f"{cluster.url('runner-1')}/stats").json()["runs"]
    for _ in range(6):
        for router in ("router-1", "router-2"):
            _, completed = stream_chat(cluster.url(router), 5)
            check(
                completed, "a stream was truncated after the runner was retired"
            )
    after = httpx.get(f"{cluster.url('runner-1')}/stats").json()["runs"]
    print(f"runner-1 ran {before} before and {after} after 12 more requests")
    check(before == after, "a retired runner received new requests")


def run(cluster: Deployment) -> None:
    """Runs all steps."""
    print_heading(
        "3 members, 2 routers, 3 runners and a desk as separate processes"
    )
    start_deployment(cluster)
    print_heading("A streamed answer")
    expected_text, completed = stream_chat(cluster.url("router-1"), 120)
    print(expected_text[:70] + " ...")
    check(
        completed and bool(expected_text),
        "the stream was empty or did not end with [DONE]",
    )
    print_heading("A deposit sent twice and executed once")
    show_deposit(cluster)
    print_heading(
        "A rule change, in force at every router when the tool returns"
    )
    rules = cluster.folder / "rules2.txt"
    rules.write_text(EXTENDED_RULES)
    run_tool(cluster, "diff", str(rules))
    started = time.monotonic()
    run_tool(cluster, "apply", str(rules))
    print(f"in force after {time.monotonic() - started:.2f} s")
    print_heading("A retired runner receives no new requests")
    show_retirement(cluster)
    print_heading(
        "A runner is killed during a stream; the caller gets the whole text"
    )
    show_killed_runner(cluster, expected_text)
    print_heading("Status and counters")
    run_tool(cluster, "status")
    answer = httpx.get(
        f"{cluster.url('router-1')}/counters",
        headers={"authorization": f"Bearer {CREDENTIAL}"},
    )
    check(answer.status_code == 200, "the counters request failed")
    print(json.dumps(answer.json(), indent=1))
    print_heading("Planned shutdown")
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
