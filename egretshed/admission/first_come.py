"""First-come, first-served queue that refuses nothing, as a baseline for benchmarks."""

from collections.abc import Container

from egretshed.admission.entries import Entry


class FirstComeQueue:
    """Same operations as `FairQueue`, without priorities, shares and deadlines."""

    def __init__(self) -> None:
        self._entries: dict[int, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def backlog_s(self) -> float:
        """Sum of the expected run times of all entries."""
        return sum(entry.cost_s for entry in self._entries.values())

    def add(self, entry: Entry) -> None:
        self._entries[entry.number] = entry

    def remove(self, entry: Entry) -> bool:
        """Remove an entry; return False if it was not queued any more."""
        return self._entries.pop(entry.number, None) is not None

    def pools(self) -> set[str]:
        """Return no pool, since nothing is refused for lack of slots."""
        return set()

    def pop(self, full_pools: Container[str] = ()) -> Entry | None:
        """Return the entry that arrived first, ignoring `full_pools`."""
        return self._entries.pop(next(iter(self._entries)), None) if self else None

    def pop_overdue(self, now_s: float) -> Entry | None:
        """Return None: an entry waits until its caller cancels it."""
        return None
