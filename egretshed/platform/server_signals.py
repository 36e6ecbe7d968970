"""Decodes what a server says in a response about the work that it takes."""

import re

from tornado.httputil import HTTPHeaders

from egretshed.platform.headers import HEADERS
from egretshed.servers.signals import ServerSignals
from egretshed.upstream.exchange import ResponseHead

MISDIRECTED = 421

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?")


def decode_server_signals(head: ResponseHead) -> ServerSignals:
    """Return the signals of a response that was not read in any other way.

    A misdirected request is answered by another server, which says nothing here.
    """
    if head.status == MISDIRECTED:
        return ServerSignals()
    return decode_signals(head.headers)


def decode_signals(headers: HTTPHeaders) -> ServerSignals:
    """Return the signals of a response.

    Values that are no plain decimal numbers, or that are given twice, are malformed::

        Server-Limit: 1.5    # ServerSignals(rate_limit_per_s=1.5)
        Server-Limit: inf    # ServerSignals(malformed=("Server-Limit",))
    """
    limit = headers.get(HEADERS.rate_limit)
    if limit is None:
        return ServerSignals()
    if not _DECIMAL.fullmatch(limit.strip()):
        return ServerSignals(malformed=(HEADERS.rate_limit,))
    return ServerSignals(rate_limit_per_s=float(limit))
