"""Decodes what a server says in a response about the work that it takes."""

import re

from tornado.httputil import HTTPHeaders

from egretshed.platform.headers import HEADERS
from egretshed.servers.signals import ServerSignals
from egretshed.upstream.exchange import ResponseHead

MISDIRECTED = 421
UNAVAILABLE = 503
_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?")


def decode_server_signals(head: ResponseHead) -> ServerSignals:
    """Return the signals of a response.

    A misdirected request is answered by another server, which says nothing here. Values
    that are no plain decimal numbers, or that are given twice, are malformed::

        Server-Limit: 1.5    # ServerSignals(rate_limit_per_s=1.5)
        Server-Limit: inf    # ServerSignals(malformed=("rate_limit_per_s",))
    """
    if head.status == MISDIRECTED:
        return ServerSignals()
    headers = head.headers
    malformed: list[str] = []
    leaving = headers.get(HEADERS.leaving, "0").strip()
    if leaving not in ("0", "1"):
        malformed.append("is_leaving")
    return ServerSignals(
        rate_limit_per_s=_decimal(
            headers, HEADERS.rate_limit, "rate_limit_per_s", malformed
        ),
        is_leaving=leaving == "1",
        pause_s=_decimal(headers, HEADERS.retry_after, "pause_s", malformed)
        if head.status == UNAVAILABLE
        else None,
        malformed=tuple(malformed),
    )


def _decimal(
    headers: HTTPHeaders, name: str, field: str, malformed: list[str]
) -> float | None:
    """Return the value of a header; note its field if the value is malformed."""
    text = headers.get(name)
    if text is None:
        return None
    if not _DECIMAL.fullmatch(text.strip()):
        malformed.append(field)
        return None
    return float(text)
