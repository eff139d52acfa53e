"""Checks calls to plain services, and the refusals that they share."""

import hashlib

import attrs

from knapweedarch.callers import Call, RefusedError
from knapweedarch.exchanges import SendRefusedError
from knapweedarch.models import Outcome, RefusalReason, ServiceRule

# They change nothing, so that they need no key even on a `once` route.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_KEY_CHARS = 255


@attrs.frozen
class ServiceCall:
    """A checked call to a service.

    Attributes:
        rule: Rule of the service.
        request_id: Identity of the request.
        method: HTTP method.
        path: Path and query, quoted.
        headers: Headers for the endpoint.
        body: Body.
        deadline: Time by which the caller gets an answer.
        key: Idempotency key; empty for a repeatable call.
        record_key: Key of the at-most-once record.
    """

    rule: ServiceRule
    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    key: str = ""
    record_key: str = ""

    @property
    def digest(self) -> bytes:
        """Digest of all that must be equal in a resend."""
        head = f"{self.method}\0{self.path}\0".encode()
        return hashlib.sha256(head + self.body).digest()


def split_path(path: str) -> tuple[str, str]:
    """Splits `/services/{service}/...` into the service and its path.

    Paths that an endpoint could read in another way than the rules do are
    refused, since a `once` route could be reached by them unmarked.

    Raises:
        RefusedError: The path is not canonical.
    """
    _, _, name, *segments = path.split("/")
    plain = all(part.isprintable() and "\\" not in part for part in segments)
    empty = any(part in ("", ".", "..") for part in segments[:-1])
    if not segments or empty or segments[-1] in (".", "..") or not plain:
        raise RefusedError(
            RefusalReason.UNKNOWN_PATH,
            "the path has empty, dotted or unprintable parts",
        )
    return name, "/" + "/".join(segments)


def idempotency_key(call: Call, rule: ServiceRule, path: str) -> str:
    """Returns the key of a call that may run at most once, else nothing.

    Raises:
        RefusedError: The route needs a key, and there is none or a bad one.
    """
    once = any(path.startswith(prefix) for prefix in rule.once)
    if not once or call.method in SAFE_METHODS:
        return ""
    key = call.header("idempotency-key")
    if not key:
        raise RefusedError(
            RefusalReason.KEY_REQUIRED, "this route needs an Idempotency-Key"
        )
    if len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
        raise RefusedError(
            RefusalReason.KEY_REQUIRED,
            f"the Idempotency-Key must be 1 to {MAX_KEY_CHARS} printable "
            "ASCII characters",
        )
    return key


def answer_too_large_error(limit: int = 0) -> RefusedError:
    """Builds the refusal of an answer that exceeds a bound in bytes."""
    stored = f"; answers over {limit} bytes are not recorded" if limit else ""
    return RefusedError(
        RefusalReason.ANSWER_TOO_LARGE,
        f"the call was run, but its answer is too large{stored}",
        Outcome.RUN,
    )


def in_progress_error() -> RefusedError:
    """Builds the refusal of a resend while the first call runs."""
    return RefusedError(
        RefusalReason.IN_PROGRESS,
        "a call with this key is still running",
        Outcome.UNKNOWN,
    )


def outcome_unknown_error() -> RefusedError:
    """Builds the refusal of a call that may or may not have run."""
    return RefusedError(
        RefusalReason.OUTCOME_UNKNOWN,
        "it is not known whether the call was run; it is not sent again",
        Outcome.UNKNOWN,
    )


def send_refused_error(exc: SendRefusedError, written: bool) -> RefusedError:
    """Builds the refusal of a call that this router may not send."""
    return RefusedError(
        exc.refusal,
        "this router starts no new work now",
        Outcome.UNKNOWN if written else Outcome.NOT_RUN,
    )
