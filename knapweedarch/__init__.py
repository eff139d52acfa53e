"""Router for language-model traffic whose prompts share long prefixes."""

from knapweedarch.exceptions import KnapweedarchError

__version__ = "0.1.0"
__all__ = [
    "KnapweedarchError",
]
