"""HTTP heads and bodies as the proxy passes them on."""

import attrs

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and
# those that frame the body, which each side sets for itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        *(b"connection", b"keep-alive", b"proxy-connection", b"te"),
        *(b"trailer", b"transfer-encoding", b"upgrade", b"expect"),
        *(b"content-length", b"proxy-authenticate", b"proxy-authorization"),
    )
)


def find_header(headers: Headers, name: bytes) -> bytes:
    """Returns the first header of a name in lower case, or nothing."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def end_to_end_headers(headers: Headers) -> Headers:
    """Drops the headers that concern one connection only."""
    connection_options = find_header(headers, b"connection").lower().split(b",")
    hop_by_hop = HOP_BY_HOP_HEADERS.union(
        name.strip() for name in connection_options
    )
    return tuple((k, v) for k, v in headers if k.lower() not in hop_by_hop)


@attrs.frozen(kw_only=True)
class Request:
    """A whole request.

    Attributes:
        method: Method.
        target: Path and query as sent.
        headers: All headers as sent.
        body: The whole body.
        began_at: When its first byte was read, in seconds.
    """

    method: bytes
    target: bytes
    headers: Headers = ()
    body: bytes = b""
    began_at: float = 0.0

    def header(self, name: bytes) -> bytes:
        """Returns the first header of a name in lower case, or nothing."""
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
    """A whole answer.

    Attributes:
        status: Status code.
        headers: Headers other than those that frame the body.
        body: The whole body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """Returns the first header of a name in lower case, or nothing."""
        return find_header(self.headers, name)
