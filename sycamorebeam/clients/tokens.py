"""The tokens of one attempt, keyed by their index."""

import hashlib

MAX_HELD_TOKENS = 1_024


class TokenTable:
    """Puts tokens in order and gives each out once.

    Tokens that come too early are held, in bounded number, until those
    before them have come; tokens that come again are dropped.
    """

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._held: dict[int, str] = {}
        self._digest = hashlib.sha256()

    @property
    def next(self) -> int:
        """The index of the first token that is missing."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """The tokens so far, in one text."""
        return ''.join(self._texts)

    @property
    def digest(self) -> str:
        """The SHA-256 digest of the text so far, in hex."""
        return self._digest.hexdigest()

    def add(self, index: int, text: str) -> list[tuple[int, str]] | None:
        """Take in a token; return those that are now due.

        Returns None when the token differs from one taken in before, or
        is further ahead than may be held.
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
