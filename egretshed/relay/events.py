"""Splits a stream of server-sent events so that only complete events are forwarded."""

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Buffers bytes and returns them as complete events.

    A server may fail in the middle of an event. The forwarded bytes then end on an
    event boundary, from which another server can resume the stream.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self.last_event_id = ""

    def feed(self, chunk: bytes) -> bytes:
        """Append `chunk` to the buffer; remove and return all complete events."""
        self._buffer += chunk
        end = 0
        for match in _EVENT_END.finditer(self._buffer):
            end = match.end()
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode("latin1")
        return complete

    def remainder(self) -> bytes:
        """Return the bytes that follow the last complete event."""
        return self._buffer
