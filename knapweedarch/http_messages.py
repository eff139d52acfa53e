"""HTTP messages as the proxy forwards them."""

import attrs

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1),
# those that frame the body, which are set separately for each connection, and
# `Expect`, which the server answers itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        *(b"connection", b"keep-alive", b"proxy-connection", b"te"),
        *(b"trailer", b"transfer-encoding", b"upgrade", b"expect"),
        *(b"content-length", b"proxy-authenticate", b"proxy-authorization"),
    )
)


# Statuses of final answers (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)


def is_final_status(status: int) -> bool:
    """Returns whether a final answer may have a status."""
    return status in FINAL_STATUSES


def find_header(headers: Headers, name: bytes) -> bytes:
    """Returns the value of the first header called `name`; empty if missing.

    Args:
        headers: Headers with names in any case.
        name: Name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def end_to_end_headers(headers: Headers) -> Headers:
    """Removes hop-by-hop headers, also those that `Connection` lists.

    `Host` is kept: no request may be sent without it.
    """
    connection_options = find_header(headers, b"connection").lower().split(b",")
    listed = {name.strip() for name in connection_options}
    hop_by_hop = HOP_BY_HOP_HEADERS | listed - {b"host"}
    return tuple((k, v) for k, v in headers if k.lower() not in hop_by_hop)


@attrs.frozen(kw_only=True)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: All headers as received.
        body: The complete body.
        began_at: When the first byte was read, in seconds on the server's
            clock.
    """

    method: bytes
    target: bytes
    headers: Headers = ()
    body: bytes = b""
    began_at: float = 0.0

    def header(self, name: bytes) -> bytes:
        """Returns the first header called `name`; empty if missing.

        Args:
            name: Name in lower case.
        """
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("ascii", "replace")

    @property
    def query(self) -> str:
        """Query without the question mark."""
        return self.target.partition(b"?")[2].decode("ascii", "replace")


@attrs.frozen(kw_only=True)
class Answer:
    """A complete response.

    Attributes:
        status: Status code.
        headers: Headers other than those that frame the body.
        body: The complete body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """Returns the first header called `name`; empty if missing.

        Args:
            name: Name in lower case.
        """
        return find_header(self.headers, name)
