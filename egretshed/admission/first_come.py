"""Queue in order of arrival that refuses nothing: a baseline to compare with."""

from collections.abc import Container

from egretshed.admission.entries import Entry


class FirstComeQueue:
    """Has the operations of `FairQueue`, without priorities, shares and deadlines."""

    def __init__(self) -> None:
        self._entries: dict[int, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def backlog_s(self) -> float:
        """Expected run time of all entries together."""
        return sum(entry.cost_s for entry in self._entries.values())

    def add(self, entry: Entry) -> None:
        self._entries[entry.number] = entry

    def remove(self, entry: Entry) -> bool:
        """Take an entry out; return False if it has left already."""
        return self._entries.pop(entry.number, None) is not None

    def pools(self) -> set[str]:
        """Return no pool, since nothing is refused for want of slots."""
        return set()

    def pop(self, full_pools: Container[str] = ()) -> Entry | None:
        """Return the entry that arrived first, whatever its pool has room for."""
        return self._entries.pop(next(iter(self._entries)), None) if self else None

    def pop_late(self, now_s: float) -> Entry | None:
        """Return None: an entry waits until its caller gives up."""
        return None
