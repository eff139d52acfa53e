"""What a request body takes in memory while its request runs."""

# A body is held as received, decoded, and as sent to the endpoint.
COPIES = 3
# With escapes or letters beyond ASCII, decoded text takes up to four bytes per
# character, and up to twelve characters of ASCII for one as sent.
WIDE_COPIES = 8
# Bytes of a decoded list or object, and of another value with its place in one.
CONTAINER_BYTES = 80
VALUE_BYTES = 64
# A body is charged at most this share of the memory, so that one alone is
# served whatever its content, and a share stays free for short requests.
LARGEST_SHARE = 2
FREE_SHARE = 4


def json_charge(data: bytes) -> int:
    """Returns the bytes that a JSON body and its copies take, estimated.

    The estimate is high: each value is taken for a long one.
    """
    is_wide = b"\\u" in data or not data.isascii()
    containers = data.count(b"[") + data.count(b"{")
    return (
        len(data) * (WIDE_COPIES if is_wide else COPIES)
        + containers * CONTAINER_BYTES
        + data.count(b",") * VALUE_BYTES
    )


def service_charge(data: bytes) -> int:
    """Returns the bytes that the body of a service call and its copies take."""
    return len(data) * COPIES
