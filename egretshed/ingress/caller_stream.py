"""Stream of a caller's connection, whose unprocessed bytes are counted."""

from tornado.iostream import IOStream

from egretshed.held_bytes.account import HeldBytes

# The end of a head, four bytes at most, may lie across the end of the last search.
HEAD_END_BYTES = 4


class CallerStream(IOStream):
    """Stream that counts the bytes which it has read and not passed on.

    These are a head without its end, or requests that were sent ahead. `arrived` counts
    them; its `give_up` is that of the request which is being received.
    """

    def __init__(self, connection, arrived: HeldBytes, **options):
        super().__init__(connection, **options)
        self.arrived = arrived
        self._searched_bytes = 0
        self._is_discarding = False

    def discard(self) -> None:
        """Keep nothing of what still arrives."""
        self._is_discarding = True
        self._drop_buffer()

    def unread(self, data: bytes) -> None:
        """Put back bytes that belong to the next request."""
        self._read_buffer[:0] = data
        self._read_buffer_size += len(data)

    def _drop_buffer(self) -> None:
        self._read_buffer.clear()
        self._read_buffer_size = 0
        self._searched_bytes = 0

    def _count(self) -> None:
        arrived = self.arrived
        if self.closed():
            arrived.close()
            return
        added_bytes = self._read_buffer_size - arrived.size_bytes
        if added_bytes > 0:
            arrived.add(added_bytes)
        elif added_bytes < 0:
            arrived.remove(-added_bytes)

    def _handle_read(self) -> None:
        super()._handle_read()
        self._count()

    def _try_inline_read(self) -> None:
        super()._try_inline_read()
        self._count()

    def _read_to_buffer(self) -> int | None:
        read_bytes = super()._read_to_buffer()
        if self._is_discarding and not self.closed():
            self._drop_buffer()
            return 0
        return read_bytes

    def _find_read_pos(self) -> int | None:
        """Search each byte for the end of a head once, however many pieces come."""
        if self._read_regex is None or not self._read_buffer:
            self._searched_bytes = 0
            return super()._find_read_pos()
        start = max(0, self._searched_bytes - HEAD_END_BYTES)
        match = self._read_regex.search(self._read_buffer, start)
        end = match.end() if match else self._read_buffer_size
        if end > self._read_max_bytes:
            # The stream is closed for it, but exists until its task has ended.
            self._drop_buffer()
        self._check_max_bytes(self._read_regex, end)
        self._searched_bytes = 0 if match else end
        return match.end() if match else None
