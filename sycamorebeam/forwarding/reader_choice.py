"""Which instances are asked for one read, and in which order."""

from collections.abc import Iterable

# Readers without contact to the store answer at once. If all read for
# themselves after a few of them, the link between regions would be full.
MAX_QUESTIONS = 16


class ReaderChoice:
    """The readers left to ask, best first.

    One that asks others itself may be reading by itself a moment later, so
    it is asked once more after all others.
    """

    def __init__(self, own_id: str, ranked: Iterable[str]) -> None:
        self._left = list(ranked)
        self._asked = {own_id}
        self._referred: set[str] = set()
        self._again: list[str] = []
        self._questions = 0

    def next(self) -> str | None:
        """Return whom to ask next, None when nobody is left."""
        while self._left and self._questions < MAX_QUESTIONS:
            instance_id = self._left.pop(0)
            if instance_id not in self._asked:
                self._asked.add(instance_id)
                self._questions += 1
                return instance_id
        if self._again and self._questions < MAX_QUESTIONS:
            self._questions += 1
            return self._again.pop(0)
        return None

    def refer(self, instance_id: str, asked_instead: str) -> None:
        """Note that an instance asks another one itself."""
        self._left.insert(0, asked_instead)
        if instance_id not in self._referred:
            self._referred.add(instance_id)
            self._again.append(instance_id)
