"""Exception tree; every error of the package has one root."""


class KnapweedarchError(Exception):
    """Root of all errors raised by this package."""


class SettingsError(KnapweedarchError):
    """Settings are missing, malformed or out of range.

    Attributes:
        faults: One text per fault, each with path, value and what is allowed.
    """

    def __init__(self, faults: list[str]):
        self.faults = faults
        super().__init__("; ".join(faults))


class RuleError(KnapweedarchError):
    """A rule file is refused.

    Attributes:
        faults: One text per fault: file, line, column and reason.
    """

    def __init__(self, faults: list[str]):
        self.faults = faults
        super().__init__("; ".join(faults))


class DeploymentError(KnapweedarchError):
    """A routing configuration is refused.

    Attributes:
        faults: One text per fault.
    """

    def __init__(self, faults: list[str]):
        self.faults = faults
        super().__init__("; ".join(faults))


class CodecError(KnapweedarchError):
    """Bytes do not decode to a known message."""


class JournalError(KnapweedarchError):
    """A file operation failed or a file is corrupt; the process must stop."""


class JournalFullError(JournalError):
    """The disk has no room to open the journal; it may be tried again."""


class ReplicaError(KnapweedarchError):
    """Root of the errors of the replicated log."""


class NotLeaderError(ReplicaError):
    """The replica cannot accept a proposal.

    Attributes:
        leader: Name of the leader if known.
    """

    def __init__(self, leader: str | None):
        self.leader = leader
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")


class MembershipError(ReplicaError):
    """A membership change is not possible now."""


class LinkError(KnapweedarchError):
    """A link between two processes failed, timed out or was refused."""


class CredentialError(LinkError):
    """The other end of a link does not hold the shared credential."""


class ControlError(KnapweedarchError):
    """The control members refused or did not answer an order.

    Attributes:
        reason: Machine-readable reason.
    """

    def __init__(self, reason: str, message: str = ""):
        self.reason = reason
        super().__init__(message or reason)


class EndpointError(KnapweedarchError):
    """A call to an endpoint failed.

    Attributes:
        reason: A value of `models.RetryReason`.
        written: Whether any byte of the request may have left this process.
    """

    def __init__(self, reason: str, message: str = "", written: bool = True):
        self.reason = reason
        self.written = written
        super().__init__(message or reason)


class ExchangeError(KnapweedarchError):
    """An exchange with an endpoint brought no whole answer.

    Attributes:
        reason: Why.
        written: Whether any byte of the request may have left this process.
    """

    def __init__(self, reason: str, message: str, written: bool):
        self.reason = reason
        self.written = written
        super().__init__(message)


class CallerGoneError(KnapweedarchError):
    """The caller closed its connection before the whole answer."""


class RequestIdError(KnapweedarchError):
    """A request id was created for another order."""
