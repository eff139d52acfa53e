"""Prompts that callers divide into parts of any size.

Runners cache whole parts. A part is a cache hit only if every part before it
is also a hit.
"""

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt.

    Attributes:
        id: Id of the part; parts with equal tokens have the same id.
        tokens: Length in tokens.
    """

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """A prompt and the limit of its answer.

    Attributes:
        model: Name of the model.
        tokens: Length of the prompt in tokens; at least that of all parts.
        max_tokens: Maximum number of tokens to generate.
        parts: Parts in order; the last one is specific to the request or
            session.
    """

    model: str
    tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def affinity_key(self) -> str:
        """Key that routes requests with shared parts to the same runner.

        It is the id of the last part but one, which other requests are likely
        to share, or of the only part.
        """
        if not self.parts:
            return ""
        return self.parts[max(0, len(self.parts) - 2)].id

    @property
    def shared_ids(self) -> tuple[str, ...]:
        """Ids of all parts but the last."""
        return tuple(part.id for part in self.parts[:-1])

    @property
    def shared_tokens(self) -> int:
        """Tokens in all parts but the last."""
        return sum(part.tokens for part in self.parts[:-1])
