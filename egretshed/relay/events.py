"""Splits a stream of server-sent events so that only complete events are forwarded."""

import re

from egretshed.errors import BackendError

# A longer event is none: the server sends bytes without end.
MAX_EVENT_BYTES = 1024 * 1024
# Bytes before new data in which an event may have begun to end.
MAX_EVENT_END_BYTES = 4

_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_LINE_ENDS = (b"\r", b"\n")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventTooLong(BackendError):
    """A server sent `MAX_EVENT_BYTES` of an event without its end."""

    code = "event_too_long"


class EventSplitter:
    """Buffers bytes and returns them as complete events.

    A server may fail in the middle of an event. The forwarded bytes then end on an
    event boundary, from which another server can resume the stream.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.last_event_id = ""

    def feed(self, chunk: bytes) -> bytes:
        """Append `chunk` to the buffer; remove and return all complete events.

        Raises `EventTooLong` if what remains is too long for an event.
        """
        searched = max(0, len(self._buffer) - MAX_EVENT_END_BYTES)
        self._buffer += chunk
        end = 0
        for event_end in _EVENT_ENDS:
            found = self._buffer.rfind(event_end, searched)
            if found >= 0:
                end = max(end, found + len(event_end))
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.clear()
            raise EventTooLong(
                f"event has more than {MAX_EVENT_BYTES} bytes", may_have_run=True
            )
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode("latin1")
        return complete

    def remainder(self) -> bytes:
        """Return the bytes that follow the last complete event."""
        return bytes(self._buffer)

    def clear(self) -> None:
        """Drop the remainder, which the traceback of a failed stream would keep."""
        self._buffer.clear()

    def is_inside_event(self) -> bool:
        """Return whether the remainder holds the beginning of an event.

        Blank lines and complete comment lines belong to no event.
        """
        return any(
            line.strip(b"\r\n")
            and not (line.startswith(b":") and line.endswith(_LINE_ENDS))
            for line in self._buffer.splitlines(keepends=True)
        )
