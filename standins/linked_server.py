"""HTTP server whose link can fall silent, without the server itself noticing."""

import socket

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from egretshed.ingress.socket_filter import (
    JUMP_IF_GREATER,
    LOAD_LENGTH,
    RETURN,
    WHOLE_PACKET,
    Instruction,
    attach_filter,
)

# Longest TCP header. Packets without data are at most this long.
MAX_TCP_HEADER_BYTES = 60
PASS_ALL = ((RETURN, 0, 0, WHOLE_PACKET),)
DROP_ALL = ((RETURN, 0, 0, 0),)
DROP_DATA = (
    (LOAD_LENGTH, 0, 0, 0),
    (JUMP_IF_GREATER, 0, 1, MAX_TCP_HEADER_BYTES),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_PACKET),
)


class LinkedServer(HTTPServer):
    """HTTP server that can have its kernel drop the packets that arrive for it."""

    def initialize(self, *args, **kwargs) -> None:
        super().initialize(*args, **kwargs)
        self.listeners: list[socket.socket] = []
        self.streams: list[IOStream] = []

    def add_sockets(self, sockets) -> None:
        self.listeners += sockets
        super().add_sockets(sockets)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        self.streams = [s for s in self.streams if not s.closed()] + [stream]
        super().handle_stream(stream, address)

    def drop_incoming(self) -> None:
        """Drop what arrives. Connections can still be opened, but bring no data."""
        self._attach(DROP_DATA, DROP_ALL)

    def pass_incoming(self) -> None:
        self._attach(PASS_ALL, PASS_ALL)

    def _attach(
        self,
        for_listeners: tuple[Instruction, ...],
        for_connections: tuple[Instruction, ...],
    ) -> None:
        for listener in self.listeners:
            attach_filter(listener, for_listeners)
        for stream in self.streams:
            if not stream.closed():
                attach_filter(stream.socket, for_connections)
