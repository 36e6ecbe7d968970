"""Incremental parser of server-sent events."""

from typing import (
    Any,
    NamedTuple,
)

import msgspec


class SseEvent(NamedTuple):
    sequence: int
    event: str
    data: Any


class SseParser:
    """Accepts chunks of any size and returns the events that they complete."""

    def __init__(self) -> None:
        self._remainder = b""

    def feed(self, chunk: bytes) -> list[SseEvent]:
        *blocks, self._remainder = (self._remainder + chunk).split(b"\n\n")
        events = [self._parse(block) for block in blocks]
        return [event for event in events if event is not None]

    def _parse(self, block: bytes) -> SseEvent | None:
        fields = {}
        for line in block.split(b"\n"):
            name, _, value = line.partition(b": ")
            if name:
                fields[name] = value
        if b"data" not in fields:
            return None
        return SseEvent(
            int(fields.get(b"id", b"0")),
            fields.get(b"event", b"message").decode(),
            msgspec.json.decode(fields[b"data"]),
        )
