"""Streams by the request that brought their first event, in bounded memory."""

from collections import OrderedDict
from typing import NamedTuple

# Most streams are taken up again within the deadline of their request.
MAX_AGE_S = 60.0
# Longest time after its beginning at which a stream is taken up. The deadline of one
# request is no limit: a caller may try several times, and wait in between.
STREAM_LIFE_S = 300.0
MAX_RECORDS = 10_000
# Longer ids are no ids; they would make the size of the memory unpredictable.
MAX_ID_CHARACTERS = 128


class StreamBeginning(NamedTuple):
    """Where a stream began.

    `started_ms` is the Unix time of the server's start as it was listed, `connected_ms`
    that at which the request was sent. A server that restarted in between, but was
    listed so later, had perhaps another version.
    """

    service: str
    version: str
    server_id: str
    started_ms: int
    connected_ms: int


class StreamMemory:
    """Beginnings of streams by request id; the oldest ones are dropped first."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, tuple[float, StreamBeginning]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(self, request_id: str, beginning: StreamBeginning, now_s: float) -> None:
        """Remember a stream; the first beginning that is known of it counts."""
        if not 0 < len(request_id) <= MAX_ID_CHARACTERS:
            return
        self._drop_old(now_s)
        self._records.setdefault(request_id, (now_s, beginning))
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def get(
        self, request_id: str, now_s: float
    ) -> tuple[StreamBeginning | None, float]:
        """Return the beginning of a stream, or None, and the age of the record."""
        self._drop_old(now_s)
        added_s, beginning = self._records.get(request_id, (now_s, None))
        return beginning, now_s - added_s

    def _drop_old(self, now_s: float) -> None:
        while self._records:
            added_s, _ = next(iter(self._records.values()))
            if now_s - added_s < MAX_AGE_S:
                return
            self._records.popitem(last=False)
