"""Interface between the proxy and the codec of a platform's HTTP headers."""

from typing import Protocol

import attrs

from knapweedarch.endpoint_statements import EndpointStatement
from knapweedarch.http_messages import Headers, Request
from knapweedarch.http_outbound import AnswerHead
from knapweedarch.prompt_parts import Prompt


@attrs.frozen(kw_only=True)
class CallerOptions:
    """Options that a caller sets in the headers of its request.

    Attributes:
        request_id: Id of this attempt of the caller.
        key: API key; empty if none.
        limit_s: Time limit in seconds, from the first byte of the request;
            None if not set.
        last_event_id: Id of the last event received of an interrupted stream;
            empty for a new stream.
        resumes: Id of the caller's attempt that brought the first event of
            that stream; empty if not named.
        prompt: The prompt; None if the request names no model.
        malformed: Names of headers that cannot be read; they say nothing.
        tokens: Prompt and answer tokens that the caller names for its quota;
            None if it names none.
    """

    request_id: str
    key: str = ""
    limit_s: float | None = None
    last_event_id: str = ""
    resumes: str = ""
    prompt: Prompt | None = None
    malformed: tuple[str, ...] = ()
    tokens: int | None = None


@attrs.frozen(kw_only=True)
class SendOptions:
    """Options that the proxy adds to the request for an endpoint.

    Attributes:
        instance_id: Id of the intended endpoint; any other refuses the request.
        limit_s: Remaining time in seconds.
        customer: Name of the customer; empty if none.
        weights_version: Expected weights version; empty for plain services.
        cache_salt: Salt of the keys of cached parts.
        urgency: Urgency at the runner, 0 to 9, where 0 is served first; None
            for no header.
        fetch_from: Address to fetch cached parts from; empty if none.
        save_to: Address of the store to save the parts in; empty if none.
        last_event_id: Id of the last event that the caller has; empty for a
            new stream.
    """

    instance_id: str
    limit_s: float
    customer: str = ""
    weights_version: str = ""
    cache_salt: str = ""
    urgency: int | None = None
    fetch_from: str = ""
    save_to: str = ""
    last_event_id: str = ""


class Dialect(Protocol):
    """Decodes and encodes the headers of a platform."""

    def read_options(self, req: Request) -> CallerOptions:
        """Decodes the headers of a caller's request."""

    def endpoint_headers(self, req: Request, options: SendOptions) -> Headers:
        """Returns the headers of the request to an endpoint."""

    def is_answer_to(self, headers: Headers, request_id: str) -> bool:
        """Returns whether the headers of an answer match a request id."""

    def names_request(self, head: AnswerHead) -> bool:
        """Returns whether an answer says which request it belongs to."""

    def was_not_run(self, head: AnswerHead) -> bool:
        """Returns whether the endpoint states that the request did not run."""

    def statement(self, head: AnswerHead) -> EndpointStatement:
        """Decodes what an answer says of its endpoint."""

    def is_wrong_instance(self, head: AnswerHead, instance_id: str) -> bool:
        """Returns whether an instance other than the intended one answered."""
