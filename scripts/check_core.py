"""Checks that core modules perform no I/O and use no global randomness."""

import ast
import pathlib
import sys

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "knapweedarch"
CORE = (
    *("exceptions", "models", "codec", "rules", "replica", "state", "leases"),
    *("records",),
    *(
        "rule_kinds",
        "prefixes",
        "index",
        "loads",
        "placement",
        "admission",
        "retries",
    ),
    *("scheduler", "streams", "replica_messages", "replica_log"),
    *("replica_leadership", "replica_membership", "replica_election"),
    *("replica_follower", "replica_status", "orders"),
    *("deployments", "cache_scopes", "heartbeats", "prompt_parts"),
    *("json_documents",),
    *("stored_parts", "endpoint_choice", "repeat_budget", "event_stream"),
    *("control_messages", "http_messages", "relay_messages"),
    *("source_relay", "load_relay", "peer_loads", "relayed_parts"),
    *("runner_roles", "prefill_rates", "prompt_admission", "exponential"),
    *("target_weights", "quarantine_messages", "crash_tracker"),
    *("rate_messages", "endpoint_rates", "rate_relay"),
    *("part_quarantine", "report_queue", "crash_guard", "quarantine_relay"),
    *("request_digests", "endpoint_statements", "software_versions"),
    *("origin_messages", "origin_table", "origin_relay"),
    *("tunnel_messages", "endpoint_paths", "endpoint_stats", "answer_memory"),
    *("member_directory", "overload", "body_charges"),
    *("quotas", "quota_messages", "quota_bucket", "quota_lenders"),
    *("quota_mint", "quota_shares", "quota_rights"),
    *("caller_memory", "caller_bounds", "chunked_body", "message_ends"),
    *("capacity_messages", "endpoint_capacity", "speed_samples"),
    *("learnt_capacities", "capacity_relay", "held_room"),
    *("usage_messages", "usage_relay", "customer_usage", "runner_room"),
    *("class_demand", "fair_admission", "service_endpoints"),
)
FORBIDDEN = {
    *("anyio", "asyncio", "httpx", "hypercorn", "socket", "os", "io"),
    *("time", "datetime", "threading", "subprocess", "pathlib", "ssl"),
    *("selectors", "signal", "tempfile", "shutil", "statsd", "logging"),
}
# Attributes of `random` that do not use the global generator.
RANDOM_ALLOWED = {"Random"}


def find_violations(path: pathlib.Path) -> list[str]:
    """Returns the forbidden imports and calls of one module."""
    violations = []
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                roots = {alias.name.split(".")[0] for alias in names}
            case ast.ImportFrom(module=str(module)):
                roots = {module.split(".")[0]}
            case ast.Attribute(value=ast.Name(id="random"), attr=attr):
                if attr not in RANDOM_ALLOWED:
                    violations.append(
                        f"{path.name}:{node.lineno} random.{attr}"
                    )
                continue
            case _:
                continue
        violations += [
            f"{path.name}:{node.lineno} imports {root}"
            for root in sorted(roots & FORBIDDEN)
        ]
    return violations


def main() -> int:
    """Checks every core module that exists; returns the exit code."""
    paths = [PACKAGE / f"{name}.py" for name in CORE]
    violations = [
        violation
        for p in paths
        if p.exists()
        for violation in find_violations(p)
    ]
    print("\n".join(violations))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
