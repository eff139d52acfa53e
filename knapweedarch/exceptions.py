"""Exceptions of the package; all derive from `KnapweedarchError`."""


class KnapweedarchError(Exception):
    """Base class of all errors raised by this package."""


class SettingsError(KnapweedarchError):
    """Settings are missing, malformed or out of range.

    Attributes:
        faults: One message per fault, with path, value and allowed values.
    """

    def __init__(self, faults: list[str]):
        self.faults = faults
        super().__init__("; ".join(faults))


class RuleError(KnapweedarchError):
    """A rule file is invalid.

    Attributes:
        faults: One message per fault, with file, line, column and reason.
    """

    def __init__(self, faults: list[str]):
        self.faults = faults
        super().__init__("; ".join(faults))


class DocumentError(KnapweedarchError):
    """A document of another program is malformed.

    The message is short and names the first fault.
    """


class DeploymentError(DocumentError):
    """A deployment configuration is inconsistent."""


class CodecError(KnapweedarchError):
    """Data cannot be decoded as a known message."""


class JournalError(KnapweedarchError):
    """A file operation failed or a file is corrupt; the process must exit."""


class JournalFullError(JournalError):
    """The disk is full; opening the journal or the save may be tried again."""


class EventTooLongError(KnapweedarchError):
    """A stream has too many bytes without the end of an event."""

    def __init__(self, limit: int):
        super().__init__(f"over {limit} bytes without the end of an event")


class ReplicaError(KnapweedarchError):
    """Base class of errors of the replicated log."""


class NotLeaderError(ReplicaError):
    """The replica cannot accept a proposal.

    Attributes:
        leader: Name of the leader, or None if it is unknown.
    """

    def __init__(self, leader: str | None):
        self.leader = leader
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")


class MembershipError(ReplicaError):
    """The membership cannot be changed in the current state."""


class LinkError(KnapweedarchError):
    """A link between two processes failed, timed out or was rejected."""


class CredentialError(LinkError):
    """The peer of a link failed to prove that it has the shared credential."""


class ControlError(KnapweedarchError):
    """The control members refused a command or did not answer it.

    Attributes:
        reason: `refused`; `unreachable`, if the command was not sent or, when a
            group is formed, a member did not answer; or `unknown_outcome`, if
            the command may have taken effect.
    """

    def __init__(self, reason: str, message: str = ""):
        self.reason = reason
        super().__init__(message or reason)


class EndpointError(KnapweedarchError):
    """A call to an endpoint failed.

    Attributes:
        reason: A value of `models.RetryReason`.
        written: Whether any byte of the request may have been sent.
    """

    def __init__(self, reason: str, message: str = "", written: bool = True):
        self.reason = reason
        self.written = written
        super().__init__(message or reason)


class ExchangeError(KnapweedarchError):
    """An HTTP exchange with an endpoint yielded no complete answer.

    Attributes:
        reason: A value of `models.RetryReason`.
        written: Whether any byte of the request may have been sent.
    """

    def __init__(self, reason: str, message: str, written: bool):
        self.reason = reason
        self.written = written
        super().__init__(message)


class AnswerGivenUpError(KnapweedarchError):
    """An answer was given up, as all answers took too much memory."""

    def __init__(self):
        super().__init__("given up, as answers take too much memory")


class MalformedRequestError(KnapweedarchError):
    """A caller's bytes are no request within the limits.

    Attributes:
        status: Status of the answer.
    """

    def __init__(self, status: int, message: str):
        self.status = status
        super().__init__(message)


class CallerEvictedError(KnapweedarchError):
    """What a caller holds was given up, as callers take too much memory."""

    def __init__(self):
        super().__init__("given up, as callers take too much memory")


class CallerGoneError(KnapweedarchError):
    """The caller closed its connection before the answer was complete.

    Raised by the HTTP/1.1 server of the proxy; the ASGI gateway raises
    `callers.CallerGoneError` instead.
    """


class RequestIdError(KnapweedarchError):
    """A request id was created for another order."""
