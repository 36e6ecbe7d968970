"""Incremental reader of server-sent events."""

from collections.abc import Callable
from typing import NamedTuple


class ServerEvent(NamedTuple):
    id: str
    event: str
    data: str


class EventReader:
    """Feeds whole events to `on_event`; `raw` keeps the bytes of a failed answer."""

    def __init__(self, on_event: Callable[[ServerEvent], None]):
        self.on_event = on_event
        self.raw = b""

    def feed(self, chunk: bytes) -> None:
        self.raw = (self.raw + chunk).replace(b"\r\n", b"\n")
        while b"\n\n" in self.raw:
            block, self.raw = self.raw.split(b"\n\n", 1)
            event = read_event(block.decode())
            if event is not None:
                self.on_event(event)


def read_event(block: str) -> ServerEvent | None:
    """Return the event of one block, or None if it has only comments."""
    fields: dict[str, list[str]] = {"id": [], "event": [], "data": []}
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        if name in fields:
            fields[name].append(value.removeprefix(" "))
    if not any(fields.values()):
        return None
    first = {name: (values or [""])[0] for name, values in fields.items()}
    return ServerEvent(first["id"], first["event"], "\n".join(fields["data"]))
