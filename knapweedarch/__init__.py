"""Router for language-model traffic whose prompts share long prefixes."""

from knapweedarch.exceptions import KnapweedarchError

__version__ = "0.1.0"
__all__ = ["KnapweedarchError"]
_API_FUNCTIONS = ("load", "serve", "apply", "announce", "retire", "status")


def __getattr__(name: str):
    """Imports a function of `api` on first access.

    Core modules can thus be imported without modules that do input and output.
    """
    if name not in _API_FUNCTIONS:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from knapweedarch import api

    return getattr(api, name)
