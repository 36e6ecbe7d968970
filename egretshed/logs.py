"""Structured logs: one JSON object a line on standard output.

Routing and placement decisions use the event names ``routing_decision`` and
``placement_decision``; `log_event` adds the event name and fields::

    log_event(logger, "routing_decision", request_id="r1", replica_id="rota-llm-2")
"""

import logging
import os
import sys
import time
from typing import (
    Any,
    TextIO,
)

from pythonjsonlogger.json import JsonFormatter

REDACTED_FIELDS = frozenset({"key", "customer_key", "operator_key", "authorization"})


# Lines a second that are written in the long run, and at once after a quiet time.
LINES_PER_S = 400.0
BURST_LINES = 2000


class RateLimitedOutput:
    """Writes lines to a descriptor without blocking, up to a rate.

    A line that does not fit the rate, or that the reader is too slow for, is dropped;
    the next line that is written tells how many were.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._allowed = float(BURST_LINES)
        self._since_s = time.monotonic()
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        now_s = time.monotonic()
        gained = (now_s - self._since_s) * LINES_PER_S
        self._allowed = min(BURST_LINES, self._allowed + gained)
        self._since_s = now_s
        if self._allowed < 1 or not self._drain():
            self.dropped += 1
            return len(text)
        self._allowed -= 1
        line = text.encode()
        if self.dropped:
            note = f'{{"message": "log_lines_dropped", "lines": {self.dropped}}}\n'
            line = note.encode() + line
            self.dropped = 0
        self._rest = line
        self._drain()
        return len(text)

    def _drain(self) -> bool:
        """Write what is left of the last line; return whether nothing is."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                # Nobody reads the log any more; there is no place to report that.
                self._rest = b""
                return True
            self._rest = self._rest[written:]
        return True

    def flush(self) -> None:
        """Part of the stream interface; every line is written at once."""


def make_logger(
    node_id: str, level: str = "INFO", stream: TextIO | None = None
) -> logging.Logger:
    """Return the logger of one node; several nodes may live in one process."""
    logger = logging.getLogger(f"egretshed.{node_id}")
    logger.handlers.clear()
    logger.propagate = False
    logger.setLevel(level)
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            "{created}{levelname}{message}",
            style="{",
            rename_fields={"created": "time_s", "levelname": "level"},
            static_fields={"node_id": node_id},
        )
    )
    logger.addHandler(handler)
    return logger


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Write one JSON line; fields that could carry a key are left out."""
    if not logger.isEnabledFor(level):
        return
    kept = {k: v for k, v in fields.items() if k not in REDACTED_FIELDS}
    logger.log(level, event, extra=kept)
