"""Validates calls to plain services and builds their errors."""

import hashlib

import attrs

from knapweedarch.callers import HttpCall, RefusedError
from knapweedarch.exchanges import SendRefusedError
from knapweedarch.models import Outcome, RefusalReason, ServiceRule
from knapweedarch.request_digests import RequestDigests

# Safe methods change no state, so they need no key even on a `once` route.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_KEY_CHARS = 255


@attrs.frozen
class ServiceCall:
    """A validated call to a service.

    Attributes:
        rule: Rule for the service.
        request_id: Identity of the request.
        method: HTTP method.
        path: Percent-encoded path and query.
        headers: Headers to send to the endpoint.
        body: Request body.
        deadline: Time of the router's clock, in seconds, by which the caller
            must get a response.
        key: Idempotency key; empty if the call may run more than once.
        record_key: Key of the at-most-once record; empty without `key`.
        digests: What it has in common with other calls.
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
    digests: RequestDigests = attrs.field(factory=lambda: RequestDigests(0))

    @property
    def digest(self) -> bytes:
        """Digest of the parts that must be the same in a resend."""
        head = f"{self.method}\0{self.path}\0".encode()
        return hashlib.sha256(head + self.body).digest()


def split_path(path: str) -> tuple[str, str]:
    """Splits `/services/{service}/...` into the service and its path.

    Paths that an endpoint could normalise to another path are refused, since
    they could reach a `once` route without matching its prefix.

    Raises:
        RefusedError: The path is not canonical.
    """
    _, _, name, *segments = path.split("/")
    plain = all(part.isprintable() and "\\" not in part for part in segments)
    empty = any(part in ("", ".", "..") for part in segments[:-1])
    if not segments or empty or segments[-1] in (".", "..") or not plain:
        raise RefusedError(
            RefusalReason.UNKNOWN_PATH,
            "the path has an empty, dot or unprintable segment",
        )
    return name, "/" + "/".join(segments)


def idempotency_key(call: HttpCall, rule: ServiceRule, path: str) -> str:
    """Returns the key of a call that may run at most once, else "".

    Raises:
        RefusedError: The route needs a key, and it is missing or invalid.
    """
    once = any(path.startswith(prefix) for prefix in rule.once)
    if not once or call.method in SAFE_METHODS:
        return ""
    key = call.header("idempotency-key")
    if not key:
        raise RefusedError(
            RefusalReason.KEY_REQUIRED,
            "this route requires an Idempotency-Key header",
        )
    if len(key) > MAX_KEY_CHARS or not key.isascii() or not key.isprintable():
        raise RefusedError(
            RefusalReason.KEY_REQUIRED,
            f"the Idempotency-Key must be 1 to {MAX_KEY_CHARS} printable "
            "ASCII characters",
        )
    return key


def answer_too_large_error(limit: int = 0) -> RefusedError:
    """Builds the error for a response that is too large.

    Args:
        limit: Size limit in bytes for recording a response; 0 if the response
            was too large to be read.
    """
    stored = f"; responses over {limit} bytes are not recorded" if limit else ""
    return RefusedError(
        RefusalReason.ANSWER_TOO_LARGE,
        f"the call was run, but its response is too large{stored}",
        Outcome.RUN,
    )


def in_progress_error() -> RefusedError:
    """Builds the error for a resend while the first call is running."""
    return RefusedError(
        RefusalReason.IN_PROGRESS,
        "a call with this key is still running",
        Outcome.UNKNOWN,
    )


def outcome_unknown_error() -> RefusedError:
    """Builds the error for a call that may or may not have run."""
    return RefusedError(
        RefusalReason.OUTCOME_UNKNOWN,
        "it is unknown whether the call was run; it will not be sent again",
        Outcome.UNKNOWN,
    )


def send_refused_error(exc: SendRefusedError, written: bool) -> RefusedError:
    """Builds the error for a call that this router may not send.

    Args:
        exc: The refusal.
        written: Whether an earlier attempt may have written the call.
    """
    return RefusedError(
        exc.refusal,
        "the router is not sending calls to services at the moment",
        Outcome.UNKNOWN if written else Outcome.NOT_RUN,
    )
