"""Messages by which one router connects to an endpoint through another one."""

import attrs

from knapweedarch.codec import create_codec


@attrs.frozen
class OpenTunnel:
    """Asks for a connection to an endpoint; the reply says whether it is open.

    Attributes:
        number: Number by which later messages on this link name the tunnel.
        address: IP address and port of the endpoint.
    """

    number: int
    address: str


@attrs.frozen
class TunnelOpened:
    """The connection to the endpoint is open."""


@attrs.frozen
class TunnelRefused:
    """There is no connection to the endpoint, and nothing was written.

    Attributes:
        reason: Why.
    """

    reason: str


@attrs.frozen
class TunnelData:
    """Bytes from either end of a tunnel."""

    number: int
    data: bytes


@attrs.frozen
class TunnelEnd:
    """The connection has ended at one end.

    Attributes:
        number: Number of the tunnel.
        is_reset: Whether it was reset or lost, so that what was received may
            not be all.
    """

    number: int
    is_reset: bool


TUNNELS = create_codec(
    *(OpenTunnel, TunnelOpened, TunnelRefused, TunnelData, TunnelEnd)
)
