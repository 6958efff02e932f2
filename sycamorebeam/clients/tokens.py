"""Ordering and deduplication of the tokens of one attempt."""

import hashlib

MAX_HELD_TOKENS = 1_024


class TokenTable:
    """Releases the tokens of one attempt in order, each once.

    Tokens that arrive out of order are held, in bounded number, until the
    ones before them have arrived; repeated tokens are dropped.
    """

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._held: dict[int, str] = {}
        self._digest = hashlib.sha256()

    @property
    def next(self) -> int:
        """The index of the first missing token."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """The text of the tokens released so far."""
        return ''.join(self._texts)

    @property
    def digest(self) -> str:
        """The SHA-256 digest of the text so far, in hex."""
        return self._digest.hexdigest()

    def add(self, index: int, text: str) -> list[tuple[int, str]] | None:
        """Add a token and return the tokens that it releases.

        Returns None if the token differs from an earlier one with the same
        index, or if too many tokens would be held.
        """
        if index < self.next:
            return [] if self._texts[index] == text else None
        if self._held.setdefault(index, text) != text:
            return None
        if len(self._held) > MAX_HELD_TOKENS:
            self._held.clear()
            return None
        return self._release()

    def _release(self) -> list[tuple[int, str]]:
        due = []
        while (text := self._held.pop(self.next, None)) is not None:
            due.append((self.next, text))
            self._texts.append(text)
            self._digest.update(text.encode())
        return due
