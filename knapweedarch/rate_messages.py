"""Messages about endpoints that limit how many requests they take."""

import attrs

# Largest number of entries in a message.
MAX_RATE_ENTRIES = 256


@attrs.frozen
class RateEntry:
    """Requests sent to one endpoint that names a limit.

    Attributes:
        endpoint: Hash of the endpoint's id; see `endpoint_digest`.
        limit_per_s: The limit in requests a second, for all routers together;
            0 if an answer has ceased to name one.
        sent: Requests sent since the last message.
    """

    endpoint: int
    limit_per_s: float
    sent: int


@attrs.frozen
class EndpointRates:
    """Requests sent to limited endpoints since the last message.

    From a router: its own. From a member to another one: those of its routers.
    From a member to a router: those of all others.

    Attributes:
        entries: One entry for each endpoint with news.
    """

    entries: tuple[RateEntry, ...] = ()
