"""Decoding of a body in chunks, many of them at a time.

Load pattern: clients send bodies in chunks of a few bytes; each chunk that is awaited
on its own takes the time of a small request.
"""

from tornado.httputil import HTTPInputError

# Size line of a chunk with its end. It may have leading zeros; extensions are refused.
SIZE_LINE_BYTES = 64
LINE_END = b"\r\n"
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class ChunkDecoder:
    """Decodes one body; `rest` is what follows it once `is_complete` is set.

    Example::

        decoder = ChunkDecoder(limit_bytes=100)
        decoder.feed(b"3\\r\\nab")  # b"ab"
        decoder.feed(b"c\\r\\n0\\r\\n\\r\\nGET")  # b"c"; the rest is b"GET"
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.is_complete = False
        self.rest = b""
        self._buffer = bytearray()
        self._size_bytes = 0
        # Bytes of the current chunk that are to come; None before its size line.
        self._left_bytes: int | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the body in `data`.

        Raises `HTTPInputError` if it is malformed or the body exceeds the limit.
        """
        buffer = self._buffer
        buffer += data
        body = bytearray()
        position = 0
        while not self.is_complete:
            if self._left_bytes is None:
                end = self._read_size(position)
            else:
                end = self._read_data(position, body)
            if end is None:
                break
            position = end
        else:
            self.rest = bytes(buffer[position:])
        if self._left_bytes:  # a part of a chunk's data is taken as it comes
            piece = buffer[position : position + self._left_bytes]
            body += piece
            self._left_bytes -= len(piece)
            position += len(piece)
        del buffer[:position]
        return bytes(body)

    def _read_size(self, position: int) -> int | None:
        """Take a size line; return its end, None if it has not arrived."""
        buffer = self._buffer
        end = buffer.find(LINE_END, position, position + SIZE_LINE_BYTES)
        if end < 0:
            if len(buffer) - position >= SIZE_LINE_BYTES:
                raise HTTPInputError("invalid chunk size")
            return None
        digits = buffer[position:end]
        if not digits or not HEX_DIGITS.issuperset(digits):
            raise HTTPInputError("invalid chunk size")
        size_bytes = int(digits, 16)
        self._size_bytes += size_bytes
        if self._size_bytes > self.limit_bytes:
            raise HTTPInputError("chunked body too large")
        if size_bytes == 0:
            return self._read_end(end + len(LINE_END))
        self._left_bytes = size_bytes
        return end + len(LINE_END)

    def _read_end(self, start: int) -> int | None:
        """Take the line after the last chunk; return its end."""
        line = self._buffer[start : start + len(LINE_END)]
        if len(line) < len(LINE_END):
            return None
        if line != LINE_END:
            raise HTTPInputError("improperly terminated chunked request")
        self.is_complete = True
        return start + len(LINE_END)

    def _read_data(self, position: int, body: bytearray) -> int | None:
        """Take the rest of a chunk with its end; return that, None if it is to come."""
        data_end = position + self._left_bytes
        end = data_end + len(LINE_END)
        if len(self._buffer) < end:
            return None
        if self._buffer[data_end:end] != LINE_END:
            raise HTTPInputError("improperly terminated chunk")
        body += self._buffer[position:data_end]
        self._left_bytes = None
        return end
