"""Splits a stream of server-sent events, so that only whole events are passed on."""

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Collects bytes and gives out whole events; the rest waits for more.

    A server may stop in the middle of an event. What was passed on then ends between
    two events, where another server can go on.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_event_id = ""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that `chunk` completes."""
        self._rest += chunk
        end = 0
        for match in _EVENT_END.finditer(self._rest):
            end = match.end()
        whole, self._rest = self._rest[:end], self._rest[end:]
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_event_id = ids[-1].decode("latin1")
        return whole

    def rest(self) -> bytes:
        """Return what follows the last whole event."""
        return self._rest
