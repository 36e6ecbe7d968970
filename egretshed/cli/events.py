"""Incremental parser of server-sent events."""

from collections.abc import Callable
from typing import NamedTuple


class ServerEvent(NamedTuple):
    id: str
    event: str
    data: str


class EventParser:
    """Parses chunks and passes each complete event to `on_event`.

    `remainder` holds the bytes that belong to no complete event yet. For an error
    response it is the body.
    """

    def __init__(self, on_event: Callable[[ServerEvent], None]):
        self.on_event = on_event
        self.remainder = b""

    def feed(self, chunk: bytes) -> None:
        self.remainder = (self.remainder + chunk).replace(b"\r\n", b"\n")
        while b"\n\n" in self.remainder:
            block, self.remainder = self.remainder.split(b"\n\n", 1)
            event = parse_event(block.decode())
            if event is not None:
                self.on_event(event)


def parse_event(block: str) -> ServerEvent | None:
    """Return the event of one block, or None if the block has only comments."""
    fields: dict[str, list[str]] = {"id": [], "event": [], "data": []}
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        if name in fields:
            fields[name].append(value.removeprefix(" "))
    if not any(fields.values()):
        return None
    first = {name: (values or [""])[0] for name, values in fields.items()}
    return ServerEvent(first["id"], first["event"], "\n".join(fields["data"]))
