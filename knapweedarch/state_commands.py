"""Commands of the replicated state machine and their results."""

import attrs

from knapweedarch.codec import create_codec
from knapweedarch.deployments import Deployment
from knapweedarch.models import Endpoint, EndpointStatus
from knapweedarch.records import (
    Abandon,
    RecordFound,
    Reserve,
    Reserved,
    Settle,
    Settled,
    TableFull,
)


@attrs.frozen
class PutRules:
    """Replaces the rule file.

    Attributes:
        request_id: Identifier of the request; a resend has the same one.
        base_version: Version that the operator's file is based on.
        text: The validated rule file.
    """

    request_id: str
    base_version: int
    text: str


@attrs.frozen
class Announce:
    """Registers an endpoint; from an operator, it also ends a retirement.

    Attributes:
        endpoint: The endpoint as it describes itself.
        by_operator: Whether an operator sent it, which ends an earlier
            retirement.
        request_id: Identifier of the operator's request; empty if the
            endpoint announces itself.
    """

    endpoint: Endpoint
    by_operator: bool = False
    request_id: str = ""


@attrs.frozen
class Retire:
    """Takes an endpoint out of use until an operator announces it again."""

    request_id: str
    endpoint_id: str


@attrs.frozen
class TakeOrders:
    """Requests the entitlement to send orders to endpoints.

    The entitlement is the exclusive right of one router to send orders.

    Attributes:
        holder: Incarnation of the router.
    """

    holder: str


@attrs.frozen
class PutDeployment:
    """Replaces the routing configuration.

    A version that is not above the current one changes nothing, so a resend, a
    retry and a delayed request are accepted without effect.

    Attributes:
        deployment: The validated configuration.
        document: Source text of the configuration.
    """

    deployment: Deployment
    document: bytes


@attrs.frozen
class NameWeights:
    """Sets the weights version that the runners of a model must load.

    A version that is not above the current one changes nothing.
    """

    model: str
    version: int


@attrs.frozen
class ChangeStatus:
    """Changes the status of an endpoint that is not leaving.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Incarnation to change; any other one is unaffected.
            Empty for the incarnation that is current when the command is
            applied.
        status: The new status.
    """

    endpoint_id: str
    incarnation: str
    status: EndpointStatus


@attrs.frozen
class DeploymentAccepted:
    """The configuration is stored, or a higher version is in force.

    Attributes:
        version: Version of the configuration in force.
    """

    version: int


@attrs.frozen
class WeightsNamed:
    """The weights version is recorded, or a higher one already was.

    Attributes:
        version: Highest version requested for the model.
    """

    version: int


@attrs.frozen
class RulesAccepted:
    """The rule file is accepted under this version."""

    version: int


@attrs.frozen
class RulesConflict:
    """The base version of the rule file is not the current version.

    Attributes:
        version: Current version of the rule file.
    """

    version: int


@attrs.frozen
class EndpointAccepted:
    """A command for an endpoint was accepted, even if it changed nothing.

    Attributes:
        revision: Revision of the endpoint table after the command.
        status: Current status of the endpoint.
    """

    revision: int
    status: EndpointStatus


@attrs.frozen
class EndpointUnknown:
    """No endpoint has this id, or it has a different incarnation."""


@attrs.frozen
class RequestIdReused:
    """The request id was already used for a different request."""


@attrs.frozen
class OrdersTaken:
    """The router may send orders to endpoints under this fencing number."""

    fencing_number: int


@attrs.frozen
class OrdersHeld:
    """Another router may send orders and may still hold its lease."""


@attrs.frozen
class EndpointEntry:
    """An endpoint in the endpoint table.

    Attributes:
        endpoint: The endpoint as last announced, with its current status.
        revision: Revision of the endpoint table at its last change.
        retired: Whether an operator retired it.
        superseded: Earlier incarnations, newest last. A delayed announcement
            from one of them must not replace the current incarnation.
    """

    endpoint: Endpoint
    revision: int
    retired: bool = False
    superseded: tuple[str, ...] = ()


COMMANDS = create_codec(
    *(PutRules, Announce, Retire, Reserve, Settle, Abandon, TakeOrders),
    *(PutDeployment, NameWeights, ChangeStatus),
)
RESULTS = create_codec(
    *(RulesAccepted, RulesConflict, EndpointAccepted, EndpointUnknown),
    RequestIdReused,
    *(TableFull, Reserved, RecordFound, Settled, OrdersTaken, OrdersHeld),
    *(DeploymentAccepted, WeightsNamed),
)
