"""Messages between members, routers and the command-line tool."""

import zlib
from collections.abc import Sequence

import attrs

from knapweedarch.capacity_messages import CapacityReport, SpeedReport
from knapweedarch.codec import LONG_MESSAGE_BYTES, create_codec
from knapweedarch.deployments import Deployment
from knapweedarch.exceptions import CodecError
from knapweedarch.models import Endpoint
from knapweedarch.origin_messages import (
    FindOrigins,
    OriginsFound,
    ReadVersions,
    ServiceVersions,
    StreamOrigins,
)
from knapweedarch.quarantine_messages import PartNotices, PartReports
from knapweedarch.quota_messages import QUOTA_MESSAGES
from knapweedarch.rate_messages import EndpointRates
from knapweedarch.relay_messages import (
    LoadChanges,
    LoadTotals,
    Relayed,
    ResendSources,
    Subscribe,
    Subscribed,
)
from knapweedarch.state import EndpointEntry
from knapweedarch.steps import Steps, finish
from knapweedarch.usage_messages import UsageReport


@attrs.frozen
class MemberAddress:
    """Address at which a member listens."""

    name: str
    host: str
    port: int


@attrs.frozen
class Renew:
    """Requests or renews the lease of a router.

    Attributes:
        router: Name of the router.
        incarnation: Random text generated at each start of the router.
        rules_version: Version of the rules that the router has applied.
        revision: Revision of the endpoint table that the router has applied.
        applied: Log index of the last grant that the router has applied.
        deployment_version: Version of the routing configuration that the
            router has applied; 0 if none.
        members_digest: `members_digest` of the addresses that the router has;
            0 if none.
        tunnels: Where it connects other routers to endpoints; None if it
            does not.
        lacks_paths: Whether it reaches no endpoint itself.
        reads_unshared: Whether it reads `Deployment.unshared`; routers of
            earlier builds do not.
    """

    router: str
    incarnation: str
    rules_version: int
    revision: int
    applied: int
    deployment_version: int = 0
    members_digest: int = 0
    tunnels: MemberAddress | None = None
    lacks_paths: bool = False
    reads_unshared: bool = False


@attrs.frozen
class Grant:
    """Grants a lease and brings the changes that the router lacks.

    Attributes:
        duration_s: Duration of the lease on the router's clock, counted from
            when the renewal was sent.
        applied: Log index that the content reflects.
        rules_version: Current version of the rules.
        rules_text: The rule file, or None if the router has it.
        revision: Current revision of the endpoint table.
        endpoints: Endpoints changed after the router's revision.
        routers: Number of routers that hold a lease.
        deployment: Routing configuration, packed by `pack_deployment`; None if
            the router has it.
        members: Current addresses of the members; empty if the router has
            them.
        weights: Highest requested weights version, by model.
        is_awaited: Whether a command waits until its change is in force, so
            that the router must confirm at once what it has applied.
    """

    duration_s: float
    applied: int
    rules_version: int
    rules_text: str | None
    revision: int
    endpoints: tuple[EndpointEntry, ...]
    routers: int
    deployment: bytes | None = None
    members: tuple[MemberAddress, ...] = ()
    weights: dict[str, int] = attrs.field(factory=dict)
    is_awaited: bool = False


@attrs.frozen
class FindPeers:
    """Asks the leader for routers that reach endpoints.

    Attributes:
        router: Name of the router that asks.
    """

    router: str


@attrs.frozen
class PeersFound:
    """Some routers that reach endpoints and open tunnels to them.

    Attributes:
        peers: Where they accept links for tunnels.
    """

    peers: tuple[MemberAddress, ...]


@attrs.frozen
class Changed:
    """Asks a router to renew now because the state changed.

    Attributes:
        index: Log index of the change.
    """

    index: int


@attrs.frozen
class Submit:
    """An encoded command of `state.COMMANDS`.

    Attributes:
        command: The command.
        in_force: Whether the reply to a command that replaces the rules or
            takes an endpoint out of use must wait until the change is in
            force on every router.
    """

    command: bytes
    in_force: bool = True


@attrs.frozen
class Heartbeat:
    """Reports that an endpoint is alive.

    Attributes:
        endpoint: The endpoint as it describes itself.
        number: Sequence number of the heartbeat in its incarnation; a number
            lower than one already received is outdated.
    """

    endpoint: Endpoint
    number: int


@attrs.frozen
class HeartbeatNoted:
    """The heartbeat was processed and the changes in it are committed."""


@attrs.frozen
class ReadDeployment:
    """Requests the routing configuration in force."""


@attrs.frozen
class DeploymentDocument:
    """The routing configuration in force.

    Attributes:
        version: Version of the configuration; 0 if there is none.
        document: Source text of the configuration.
    """

    version: int
    document: bytes


@attrs.frozen
class Join:
    """Requests to join the group.

    Sent by a member that is in no group or knows no leader, and by one that is
    about to stop.

    Attributes:
        name: Name of the sender.
        identity: Identity of its journal.
        host: Host at which the members reach it.
        port: Its port.
        is_leaving: Whether it is about to stop, and asks that a spare member
            vote in its place. Earlier builds do not read this.
    """

    name: str
    identity: str
    host: str
    port: int
    is_leaving: bool = False


@attrs.frozen
class Joining:
    """The request to join was accepted; the leader adds the member later.

    Attributes:
        members: Current addresses of the members.
        is_awaited: Whether a spare member is yet to take over the vote of the
            sender, which is about to stop.
    """

    members: tuple[MemberAddress, ...]
    is_awaited: bool = False


@attrs.frozen
class Result:
    """The encoded result of a command."""

    result: bytes


@attrs.frozen
class Redirect:
    """The member is not the leader and did not process the message.

    Attributes:
        leader: Name of the leader, or empty if unknown.
        address: Address of the leader, if known.
    """

    leader: str
    address: MemberAddress | None = None


@attrs.frozen
class Refused:
    """The command was refused or its outcome is unknown.

    Attributes:
        reason: `refused` or `unknown_outcome`.
        message: Human-readable explanation.
    """

    reason: str
    message: str = ""


@attrs.frozen
class Query:
    """Requests the status of the system from the leader."""


@attrs.frozen
class MemberStatus:
    """A member in the member list of the leader."""

    name: str
    identity: str
    voter: bool


@attrs.frozen
class StatusReply:
    """Status of the system as the leader sees it.

    Attributes:
        leader: Name of the leader.
        term: Term of the leader.
        commit_index: Highest committed log index.
        rules_version: Version of the rule file.
        rules_text: The rule file.
        endpoints: All known endpoints.
        members: Members of the replicated log.
        routers: Names of the routers that hold a lease.
        records: Number of at-most-once records.
        fencing_number: Fencing number of the router that may send orders to
            endpoints.
    """

    leader: str
    term: int
    commit_index: int
    rules_version: int
    rules_text: str
    endpoints: tuple[EndpointEntry, ...]
    members: tuple[MemberStatus, ...]
    routers: tuple[str, ...]
    records: int
    fencing_number: int


@attrs.frozen
class Describe:
    """Requests the identity of the receiving member, leader or not."""


@attrs.frozen
class Description:
    """Identity of a member.

    Attributes:
        name: Name from its settings.
        identity: Random identity stored in its journal.
        blank: Whether its journal has never contained an entry.
    """

    name: str
    identity: str
    blank: bool


@attrs.frozen
class FormMember:
    """A member of the first group."""

    name: str
    identity: str
    host: str
    port: int


@attrs.frozen
class Form:
    """Makes a blank member part of the first group."""

    members: tuple[FormMember, ...]


@attrs.frozen
class Formed:
    """The member is part of the first group."""


@attrs.frozen
class Hello:
    """Identifies the sending member, as the first message of a link."""

    name: str
    identity: str


@attrs.frozen
class Peer:
    """An encoded message of the replicated log.

    Attributes:
        sender: Name of the sending member.
        data: The encoded message.
    """

    sender: str
    data: bytes


def members_digest(members: Sequence[MemberAddress]) -> int:
    """Returns a hash of addresses, by which they are not sent again."""
    return zlib.crc32(repr(members).encode())


_DEPLOYMENTS = create_codec(Deployment)


def pack_deployment(deployment: Deployment) -> bytes:
    """Encodes and compresses a configuration, once for all routers."""
    return zlib.compress(_DEPLOYMENTS.encode(deployment))


def unpack_deployment(data: bytes) -> Deployment:
    """Decodes a configuration without a pause.

    Raises:
        CodecError: The data is malformed.
    """
    return finish(unpack_in_steps(data))


def unpack_in_steps(data: bytes) -> Steps[Deployment]:
    """Decodes a configuration; a long one in several steps.

    Raises:
        CodecError: The data is malformed.
    """
    try:
        plain = zlib.decompress(data)
    except zlib.error as exc:
        raise CodecError(f"malformed configuration: {exc}") from exc
    if len(plain) <= LONG_MESSAGE_BYTES:
        return _DEPLOYMENTS.decode(plain)
    yield
    return (yield from _DEPLOYMENTS.decode_in_steps(plain))


CONTROL = create_codec(
    *(Renew, Grant, Changed, Submit, Result, Redirect, Refused, Query),
    *(StatusReply, Describe, Description, Form, Formed, Hello, Peer),
    *(Heartbeat, HeartbeatNoted, ReadDeployment, DeploymentDocument),
    *(Join, Joining, Subscribe, Subscribed, Relayed),
    *(ResendSources, LoadChanges, LoadTotals),
    *(PartReports, PartNotices, EndpointRates, UsageReport),
    *(StreamOrigins, FindOrigins, OriginsFound, FindPeers, PeersFound),
    *QUOTA_MESSAGES,
    *(ReadVersions, ServiceVersions, SpeedReport, CapacityReport),
)
