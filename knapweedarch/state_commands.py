"""Commands to the replicated state, and their results."""

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
        request_id: Identity of the order; a resend repeats it.
        base_version: Version that the operator's file is based on.
        text: The checked rule file.
    """

    request_id: str
    base_version: int
    text: str


@attrs.frozen
class Announce:
    """An endpoint announces itself, or an operator announces it again.

    Attributes:
        endpoint: What the endpoint says of itself.
        by_operator: Whether an operator ends an earlier retirement.
        request_id: Identity of the order; empty when an endpoint announces.
    """

    endpoint: Endpoint
    by_operator: bool = False
    request_id: str = ""


@attrs.frozen
class Retire:
    """An operator retires an endpoint until an operator announces it again."""

    request_id: str
    endpoint_id: str


@attrs.frozen
class TakeOrders:
    """A router asks for the sole right to give orders to endpoints.

    Attributes:
        holder: Incarnation of the router.
    """

    holder: str


@attrs.frozen
class PutDeployment:
    """Submits a whole routing configuration under its number.

    A number that is not above the one in force changes nothing, so a resend
    and a late order are accepted without effect.

    Attributes:
        deployment: The checked configuration.
        document: The configuration as the operator wrote it.
    """

    deployment: Deployment
    document: bytes


@attrs.frozen
class NameWeights:
    """Names the weights version that the runners of a model are to reach."""

    model: str
    version: int


@attrs.frozen
class ChangeStatus:
    """Changes the status of an endpoint that is not leaving.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Incarnation that is meant; another one stays as it is.
            Empty for the one that is known when the command is applied.
        status: The new status.
    """

    endpoint_id: str
    incarnation: str
    status: EndpointStatus


@attrs.frozen
class DeploymentAccepted:
    """The configuration is stored, or a higher number is in force.

    Attributes:
        version: Number of the configuration in force.
    """

    version: int


@attrs.frozen
class WeightsNamed:
    """The weights version is recorded, or a higher one is.

    Attributes:
        version: Highest version named for the model.
    """

    version: int


@attrs.frozen
class RulesAccepted:
    """The rule file is accepted under this version."""

    version: int


@attrs.frozen
class RulesConflict:
    """The rule file was based on a version that is no longer current."""

    version: int


@attrs.frozen
class EndpointAccepted:
    """The endpoint is known under this revision.

    Attributes:
        revision: Revision of the endpoint table.
        status: Status that the endpoint has now.
    """

    revision: int
    status: EndpointStatus


@attrs.frozen
class EndpointUnknown:
    """No endpoint has this name."""


@attrs.frozen
class RequestIdReused:
    """The request id belongs to another order."""


@attrs.frozen
class OrdersTaken:
    """The router is the holder of orders under this fencing number."""

    fencing_number: int


@attrs.frozen
class OrdersHeld:
    """Another router that may still hold a lease is the holder of orders."""


@attrs.frozen
class EndpointEntry:
    """An endpoint and the revision of its last change.

    Attributes:
        endpoint: The endpoint as last announced.
        revision: Revision of the endpoint table at its last change.
        retired: Whether an operator retired it.
        superseded: Earlier incarnations, newest last. A delayed announcement
            of one of them must not replace the current incarnation.
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
