"""Prompts that callers name as parts of any size.

Runners cache whole parts: a part is found only if all parts before it are.
"""

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt.

    Attributes:
        id: Name of the part, equal wherever its tokens are.
        tokens: Its length.
    """

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """A prompt and what is to be made of it.

    Attributes:
        model: Name of the model.
        tokens: Length of the prompt in tokens.
        max_tokens: Most tokens to generate.
        parts: Parts in order; the last belongs to this request or session.
    """

    model: str
    tokens: int
    max_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def affinity_key(self) -> str:
        """Part by which requests are kept together on one runner.

        It is the last part that other requests are likely to share.
        """
        if not self.parts:
            return ""
        return self.parts[max(0, len(self.parts) - 2)].id

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts but the last."""
        return sum(part.tokens for part in self.parts[:-1])
