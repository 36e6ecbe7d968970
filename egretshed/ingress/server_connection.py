"""Connections of tornado's server, with deferred heads and a bound on their number."""

import asyncio
from collections.abc import Callable

from tornado import httputil
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ServerConnection,
)
from tornado.httpserver import (
    HTTPServer,
    _HTTPRequestContext,
)
from tornado.iostream import (
    IOStream,
    StreamClosedError,
    UnsatisfiableReadError,
)
from tornado.log import gen_log

from egretshed.ingress.chunks import ChunkDecoder
from egretshed.ingress.heads import (
    EAGER_FIELDS,
    field_count,
    parse_framing,
)


class CallerConnection(HTTP1Connection):
    """Connection that parses only the framing of a head with many fields.

    `deferred_head` is that head as it came; None if all of its fields were parsed.
    """

    deferred_head: bytes | None = None

    def _parse_headers(self, data: bytes) -> tuple[str, httputil.HTTPHeaders]:
        if field_count(data) <= EAGER_FIELDS:
            return super()._parse_headers(data)
        self.deferred_head = data
        return parse_framing(data)

    async def _read_chunked_body(self, delegate) -> None:
        decoder = ChunkDecoder(self._max_body_size)
        while not decoder.is_complete:
            data = await self.stream.read_bytes(self.params.chunk_size, partial=True)
            body = decoder.feed(data)
            if body:
                await self._deliver_body(delegate, body)
            await asyncio.sleep(0)  # the turn of other connections
        self.stream.unread(decoder.rest)


class _ServerConnection(HTTP1ServerConnection):
    async def _server_request_loop(
        self, delegate: httputil.HTTPServerConnectionDelegate
    ) -> None:
        try:
            while True:
                connection = CallerConnection(
                    self.stream, False, self.params, self.context
                )
                request = delegate.start_request(self, connection)
                if not await connection.read_response(request):
                    return
                await asyncio.sleep(0)
        except (StreamClosedError, UnsatisfiableReadError, asyncio.CancelledError):
            return
        except Exception:  # an error of one connection must not end the process
            gen_log.error("Uncaught exception", exc_info=True)
            connection.close()
        finally:
            delegate.on_close(self)


class NotifyingServer(HTTPServer):
    """HTTP server that tells its callback of closed connections; tornado's does not.

    `make_stream` returns the stream of an accepted connection, or None if it was
    closed instead.
    """

    def initialize(self, request_callback, make_stream: Callable, **options) -> None:
        super().initialize(request_callback, **options)
        self.make_stream = make_stream

    def _handle_connection(self, connection, address) -> None:
        stream = self.make_stream(connection)
        if stream is not None:
            self.handle_stream(stream, address)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        context = _HTTPRequestContext(
            stream, address, self.protocol, self.trusted_downstream
        )
        connection = _ServerConnection(stream, self.conn_params, context)
        self._connections.add(connection)
        connection.start_serving(self)

    def on_close(self, server_conn) -> None:
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)
