"""Heads of requests whose fields are costly, and what is known of them unparsed.

A field takes four bytes on the wire and some hundred once it is parsed. So a head of
many fields is kept as it came until its request is complete; only the fields that
delimit its body are parsed before. Its cost is counted before the others are.

Load pattern: many clients send heads of legal size made of thousands of short fields,
and stop before the end of their requests.
"""

import re
from collections.abc import Iterator

from tornado import httputil

# A head of more fields is parsed when its request is complete.
EAGER_FIELDS = 200
# Memory of a parsed field with its copies on the way to a server.
FIELD_COST_BYTES = 512
# Fields that are parsed within one turn of the event loop.
FIELDS_PER_TURN = 200
# Lines of framing that are read before the rest; nobody needs as many.
MAX_FRAMING_LINES = 32
FRAMING_NAMES = (b"content-length", b"transfer-encoding", b"connection", b"expect")
_FRAMING_LINE = re.compile(
    rb"\n((?:" + rb"|".join(FRAMING_NAMES) + rb")[^a-z0-9\-\n][^\n]*)", re.IGNORECASE
)


def field_count(head: bytes) -> int:
    """Return the number of fields of a head as it came, without its first line."""
    return max(0, head.strip(b"\r\n").count(b"\n"))


def parsed_cost_bytes(head: bytes) -> int:
    """Return the memory that a head takes once all of its fields are parsed."""
    return len(head) + field_count(head) * FIELD_COST_BYTES


def parse_framing(head: bytes) -> tuple[str, httputil.HTTPHeaders]:
    """Return the first line of a head, and its fields that delimit the body.

    Raises `HTTPInputError` if one of them is malformed, or if there are too many.
    """
    head = head.lstrip(b"\r\n")
    first_line = head.partition(b"\n")[0].rstrip(b"\r").decode("latin1")
    headers = httputil.HTTPHeaders()
    for count, match in enumerate(_FRAMING_LINE.finditer(head)):
        if count == MAX_FRAMING_LINES:
            raise httputil.HTTPInputError("too many fields that delimit a body")
        headers.parse_line(match[1].decode("latin1").removesuffix("\r"))
    return first_line, headers


def parse_in_turns(head: bytes) -> Iterator[httputil.HTTPHeaders]:
    """Yield the fields parsed so far, after each `FIELDS_PER_TURN` of them.

    The last one has all. Raises `HTTPInputError` if a field is malformed.
    """
    headers = httputil.HTTPHeaders()
    head = head.strip(b"\r\n")
    start = head.find(b"\n") + 1
    count = 0
    while 0 < start < len(head):
        end = head.find(b"\n", start)
        end = len(head) if end < 0 else end
        headers.parse_line(head[start:end].decode("latin1").removesuffix("\r"))
        start = end + 1
        count += 1
        if count % FIELDS_PER_TURN == 0:
            yield headers
    yield headers


def exceeds(head: bytes, limit_bytes: int) -> bool:
    """Return whether a head is larger than a limit, without optional white space."""
    white_bytes = head.count(b" ") + head.count(b"\t")
    lines = head.count(b"\n")
    if len(head) - white_bytes > limit_bytes:
        return True
    if len(head) + 2 * lines <= limit_bytes:
        return False
    lines = head.strip(b"\r\n").split(b"\n")
    size_bytes = len(lines[0].rstrip(b"\r")) + 2 * len(b"\r\n")
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        size_bytes += len(name) + len(value.strip()) + len(b": \r\n")
    return size_bytes > limit_bytes
