"""Decodes what a server says in a response about the work that it takes."""

import re

from tornado.httputil import HTTPHeaders

from egretshed.platform.headers import HEADERS
from egretshed.servers.signals import (
    LoadReport,
    ServerSignals,
)
from egretshed.upstream.exchange import ResponseHead

MISDIRECTED = 421
UNAVAILABLE = 503
# Number of figures of a load report, without and with that of the machine.
LOAD_FIGURES = (3, 4)
_FIGURE = re.compile("[0-9]{1,9}")
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
        load=_load(headers, malformed),
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


def _load(headers: HTTPHeaders, malformed: list[str]) -> LoadReport | None:
    """Return the reported load; note it as malformed, also if it is given twice."""
    reports = headers.get_list(HEADERS.server_load)
    load = decode_load(reports[0]) if len(reports) == 1 else None
    if reports and load is None:
        malformed.append("load")
    return load


def decode_load(text: str) -> LoadReport | None:
    """Return the report in a header, or None if any of its figures is malformed.

    The fourth figure, which some servers send, is in hundredths of the usual time::

        3,1,6        # LoadReport(running=3, waiting=1, slots=6, slowness=1.0)
        5,2,6,163    # LoadReport(running=5, waiting=2, slots=6, slowness=1.63)
    """
    parts = [part.strip() for part in text.split(",")]
    if len(parts) not in LOAD_FIGURES or not all(map(_FIGURE.fullmatch, parts)):
        return None
    running, waiting, slots, *hundredths = map(int, parts)
    if 0 in hundredths:
        return None
    return LoadReport(running, waiting, slots, *(h / 100 for h in hundredths))
