"""Parses the events of a runner's feed."""

from knapweedarch.models import (
    CacheChange,
    CacheEvent,
    CacheSnapshot,
    Endpoint,
    LoadReport,
)
from knapweedarch.streams import parse_load, read_number

FeedItem = LoadReport | CacheEvent | CacheSnapshot


def parse_feed_event(body: dict, endpoint: Endpoint) -> FeedItem:
    """Parses one feed event.

    Raises:
        One of `streams.PARSE_ERRORS`: The event is malformed or belongs to
            another incarnation.
    """
    if body["incarnation"] != endpoint.incarnation:
        raise ValueError(
            f"feed event has another incarnation: {body['incarnation']}"
        )
    source = endpoint.id, endpoint.incarnation
    match body["type"]:
        case "load":
            return parse_load(body, *source)
        case "snapshot":
            number = read_number(body["number"])
            return CacheSnapshot(*source, number, _blocks(body))
        case kind:
            change = CacheChange(kind)
            number = read_number(body["number"])
            return CacheEvent(*source, number, change, _blocks(body))


def _blocks(body: dict) -> tuple[int, ...]:
    return tuple(int(block) for block in body.get("blocks", ()))
