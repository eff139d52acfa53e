"""Bounds the memory that all unfinished answers of a process take together.

Each answer has a limit of its own, but a faulty endpoint may send without end
in many at once. When all of them hold more than the process may spend, the
longest one is given up: a sound answer is rarely that one.
"""

import contextlib
from collections.abc import Callable, Iterator

import attrs

from knapweedarch.exceptions import AnswerGivenUpError

# Room for four of the longest answers.
MAX_HELD_BYTES = 32 * 1024 * 1024
# An answer up to this length is never given up for others.
SMALL_ANSWER_BYTES = 16 * 1024


@attrs.define(eq=False)
class HeldAnswer:
    """What one answer holds; create it with `AnswerMemory.hold`.

    Attributes:
        size: Its size in bytes.
        is_given_up: Whether it was given up for others.
    """

    _memory: "AnswerMemory"
    _release: Callable[[], None] | None
    size: int = 0
    is_given_up: bool = False

    @property
    def may_be_given_up(self) -> bool:
        """Whether its bytes may be released for others."""
        return self._release is not None and self.size > SMALL_ANSWER_BYTES

    def resize(self, size: int) -> None:
        """Changes the size.

        Args:
            size: The size in bytes from now on.

        Raises:
            AnswerGivenUpError: It was given up, now or before.
        """
        if not self.is_given_up:
            self._memory.change(self, size)
        if self.is_given_up:
            raise AnswerGivenUpError()

    def give_up(self) -> None:
        """Releases its bytes; it cannot be completed any more."""
        self.is_given_up = True
        self._release()


class AnswerMemory:
    """The memory that unfinished answers share.

    Args:
        limit_bytes: Bytes that they may hold together. Answers of up to
            `SMALL_ANSWER_BYTES` may exceed it.
        on_give_up: Called with the size of an answer that is given up, and with
            the bytes held by all.

    Attributes:
        held_bytes: Bytes that they hold.
    """

    def __init__(
        self,
        limit_bytes: int = MAX_HELD_BYTES,
        on_give_up: Callable[[int, int], None] = lambda size, held: None,
    ):
        self.held_bytes = 0
        self._on_give_up = on_give_up
        self._limit_bytes = limit_bytes
        self._answers: set[HeldAnswer] = set()

    @contextlib.contextmanager
    def hold(self, release: Callable[[], None]) -> Iterator[HeldAnswer]:
        """Counts an answer while it is read, and drops its bytes at the end.

        Args:
            release: Drops its bytes. Others may refer to the answer for longer,
                as the error that ended it does.
        """
        answer = HeldAnswer(self, release)
        try:
            yield answer
        finally:
            self._drop(answer)
            release()

    @contextlib.contextmanager
    def keep(self, size: int) -> Iterator[None]:
        """Counts a complete answer, which is not given up, while it is sent.

        Args:
            size: Its size in bytes.
        """
        answer = HeldAnswer(self, None)
        self.change(answer, size)
        try:
            yield
        finally:
            self._drop(answer)

    def change(self, answer: HeldAnswer, size: int) -> None:
        """Changes the size of an answer; gives up the longest if need be."""
        self._answers.add(answer)
        self.held_bytes += size - answer.size
        answer.size = size
        while self.held_bytes > self._limit_bytes:
            longest = max(
                (a for a in self._answers if a.may_be_given_up),
                key=lambda a: a.size,
                default=None,
            )
            if longest is None:
                return
            self._on_give_up(longest.size, self.held_bytes)
            self._drop(longest)
            longest.give_up()

    def _drop(self, answer: HeldAnswer) -> None:
        self._answers.discard(answer)
        self.held_bytes -= answer.size
        answer.size = 0
