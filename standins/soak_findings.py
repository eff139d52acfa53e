"""Collects what a soak finds."""

from collections.abc import Callable

import attrs


@attrs.define
class Findings:
    """Broken rules, in the order in which they were seen.

    Attributes:
        texts: One line for each.
    """

    _record: Callable[[str], None]
    texts: list[str] = attrs.field(factory=list)

    def add(self, text: str) -> None:
        """Adds a finding, once."""
        if text not in self.texts:
            self.texts.append(text)
            self._record(f"FINDING {text}")
