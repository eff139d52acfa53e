"""Messages between members, routers and the command-line tool."""

import attrs

from knapweedarch.codec import create_codec
from knapweedarch.deployments import Deployment
from knapweedarch.models import Endpoint
from knapweedarch.state import EndpointEntry


@attrs.frozen
class MemberAddress:
    """Where a member listens."""

    name: str
    host: str
    port: int


@attrs.frozen
class Renew:
    """A router asks for a lease.

    Attributes:
        router: Name of the router.
        incarnation: Random text drawn at each start of the router.
        rules_version: Version of the rules that the router applies.
        revision: Revision of the endpoint table that the router applies.
        applied: Log index of the last grant that the router applied.
        deployment_version: Number of the configuration that it applies; 0
            before the first one.
    """

    router: str
    incarnation: str
    rules_version: int
    revision: int
    applied: int
    deployment_version: int = 0


@attrs.frozen
class Grant:
    """The lease and what the router lacks.

    Attributes:
        duration_s: Length of the lease, from when the renewal was sent.
        applied: Log index that the content reflects.
        rules_version: Current version of the rules.
        rules_text: The rule file, or None if the router has it.
        revision: Current revision of the endpoint table.
        endpoints: Endpoints changed after the router's revision.
        routers: Routers that hold a lease now.
        deployment: Routing configuration, or None if the router has it.
        members: Addresses of the members now.
        weights: Highest weights version named, by model.
    """

    duration_s: float
    applied: int
    rules_version: int
    rules_text: str | None
    revision: int
    endpoints: tuple[EndpointEntry, ...]
    routers: int
    deployment: Deployment | None = None
    members: tuple[MemberAddress, ...] = ()
    weights: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class Changed:
    """The leader tells its routers to renew now, since something changed."""

    index: int


@attrs.frozen
class Submit:
    """An encoded command of `state.COMMANDS`.

    Attributes:
        command: The command.
        in_force: Whether to answer only once every router applies a change
            that takes work away from an endpoint or replaces the rules.
    """

    command: bytes
    in_force: bool = True


@attrs.frozen
class Heartbeat:
    """An endpoint says that it runs.

    Attributes:
        endpoint: What it says of itself.
        number: Number of the heartbeat in its incarnation; a lower one than
            seen before is late.
    """

    endpoint: Endpoint
    number: int


@attrs.frozen
class HeartbeatNoted:
    """The heartbeat is noted, and what it changed is stored."""


@attrs.frozen
class EndpointLoad:
    """Requests of routers at one endpoint.

    Attributes:
        endpoint_id: The endpoint.
        requests: Requests that are not answered in full.
        unread_tokens: Prompt tokens of those without a first event.
        held_tokens: Tokens of all of them, prompt and answer.
    """

    endpoint_id: str
    requests: int
    unread_tokens: int
    held_tokens: int


@attrs.frozen
class LoadShare:
    """A router tells the leader the load that it causes itself."""

    loads: tuple[EndpointLoad, ...]


@attrs.frozen
class LoadTotals:
    """The leader tells a router the load that all others cause together."""

    loads: tuple[EndpointLoad, ...]


@attrs.frozen
class ReadDeployment:
    """Asks the leader for the routing configuration in force."""


@attrs.frozen
class DeploymentDocument:
    """The routing configuration in force, as the operator wrote it.

    Attributes:
        version: Its number; 0 if there is none.
        document: Its text.
    """

    version: int
    document: bytes


@attrs.frozen
class Join:
    """A member that is in no group asks the leader to take it in."""

    name: str
    identity: str
    host: str
    port: int


@attrs.frozen
class Joining:
    """The leader takes the member in as soon as it can.

    Attributes:
        members: Addresses of the members now.
    """

    members: tuple[MemberAddress, ...]


@attrs.frozen
class Result:
    """The encoded result of a command."""

    result: bytes


@attrs.frozen
class Redirect:
    """The member is not the leader and has done nothing.

    Attributes:
        leader: Name of the leader, or empty if unknown.
        address: Where the leader listens, if known.
    """

    leader: str
    address: MemberAddress | None = None


@attrs.frozen
class Refused:
    """The order was refused or its outcome is not known.

    Attributes:
        reason: `refused`, `unknown_outcome` or `not_in_force`.
        message: Text for people.
    """

    reason: str
    message: str = ""


@attrs.frozen
class Query:
    """Asks the leader for its status."""


@attrs.frozen
class MemberStatus:
    """One member as the leader sees it."""

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
        fencing_number: Number of the latest holder of orders.
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
    """Asks any member who it is."""


@attrs.frozen
class Description:
    """Who a member is.

    Attributes:
        name: Name from its settings.
        identity: Identity drawn by its journal.
        blank: Whether its journal has never held an entry.
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
    """A member tells another who it is, as the first message of a link."""

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


CONTROL = create_codec(
    *(Renew, Grant, Changed, Submit, Result, Redirect, Refused, Query),
    *(StatusReply, Describe, Description, Form, Formed, Hello, Peer),
    *(Heartbeat, HeartbeatNoted, ReadDeployment, DeploymentDocument),
    *(Join, Joining, LoadShare, LoadTotals),
)
