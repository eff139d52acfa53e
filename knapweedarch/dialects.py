"""What the proxy asks of the adapter that knows the headers of a platform."""

from typing import Protocol

import attrs

from knapweedarch.http_messages import Headers, Request
from knapweedarch.http_outbound import AnswerHead
from knapweedarch.prompt_parts import Prompt


@attrs.frozen(kw_only=True)
class CallerOptions:
    """What a caller says of its request.

    Attributes:
        request_id: Identity of this attempt of the caller.
        key: Key that it shows; empty if none.
        limit_s: How long it waits in seconds; None if it does not tell.
        last_event_id: Last event that it has of a broken stream; empty if it
            asks for the whole.
        prompt: The prompt; None where the request runs on no model.
    """

    request_id: str
    key: str = ""
    limit_s: float | None = None
    last_event_id: str = ""
    prompt: Prompt | None = None


@attrs.frozen(kw_only=True)
class SendOptions:
    """What an endpoint is told beside the caller's request.

    Attributes:
        instance_id: Endpoint that is meant; any other refuses.
        limit_s: Time left in seconds.
        customer: Name of the customer; empty without one.
        weights_version: Weights that are meant; empty for plain services.
        cache_salt: Text under which cached parts are found.
        urgency: Rank at the runner, 0 to 9, 0 first; None leaves it out.
        fetch_from: Address that holds cached parts; empty without one.
        save_to: Address of the store that takes the parts; empty without.
        last_event_id: Last event that the caller has; empty for the whole.
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
    """Headers of a platform, decoded and encoded."""

    def read_options(self, req: Request) -> CallerOptions:
        """Decodes the headers of a caller's request."""

    def endpoint_headers(self, req: Request, options: SendOptions) -> Headers:
        """Returns the headers of the request that an endpoint gets."""

    def is_answer_to(self, headers: Headers, request_id: str) -> bool:
        """Tells whether an answer belongs to a request."""

    def was_not_run(self, head: AnswerHead) -> bool:
        """Tells whether an endpoint says that it did not run the request."""

    def is_wrong_instance(self, head: AnswerHead, instance_id: str) -> bool:
        """Tells whether another instance than the one meant has answered."""
