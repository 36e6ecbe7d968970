"""Structured logs: one JSON object per line on standard output.

Routing and placement decisions have the event names ``routing_decision`` and
``placement_decision``; `log_event` adds the fields::

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

# The lines hold neither source position nor thread nor process; finding the position
# takes half of the time of a line.
logging._srcfile = None
logging.logThreads = False
logging.logProcesses = False
logging.logMultiprocessing = False

REDACTED_FIELDS = frozenset({"key", "customer_key", "operator_key", "authorization"})

# Token bucket of the output: sustained rate and burst.
MAX_LINES_PER_S = 400.0
MAX_BURST_LINES = 2000


class RateLimitedOutput:
    """Writes lines to a file descriptor without blocking and up to a rate.

    A line that exceeds the rate, or that comes while the reader lags behind, is
    dropped. A record before the next written line tells how many were dropped.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_s = time.monotonic()
        self._unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1 or not self._drain():
            self.dropped += 1
            return len(text)
        self._tokens -= 1
        line = text.encode()
        if self.dropped:
            note = f'{{"message": "log_lines_dropped", "lines": {self.dropped}}}\n'
            line = note.encode() + line
            self.dropped = 0
        self._unwritten = line
        self._drain()
        return len(text)

    def _drain(self) -> bool:
        """Write the rest of the last line; return whether it is written completely."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError:
                # The reader has closed the log, so the error cannot be reported.
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True

    def flush(self) -> None:
        """Do nothing; `write` does not buffer lines. Part of the stream interface."""


def make_logger(
    node_id: str, level: str = "INFO", stream: TextIO | None = None
) -> logging.Logger:
    """Return the logger of one node; several nodes may run in one process."""
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
    """Write an event as one JSON line without the fields in `REDACTED_FIELDS`."""
    if not logger.isEnabledFor(level):
        return
    logged_fields = {k: v for k, v in fields.items() if k not in REDACTED_FIELDS}
    logger.log(level, event, extra=logged_fields)
