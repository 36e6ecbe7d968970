"""Structured logs: one JSON object a line on standard error.

Routing and placement decisions use the event names ``routing_decision`` and
``placement_decision``; `log_event` adds the event name and fields::

    log_event(logger, "routing_decision", request_id="r1", replica_id="rota-llm-2")
"""

import logging
import sys
from typing import (
    Any,
    TextIO,
)

from pythonjsonlogger.json import JsonFormatter

REDACTED_FIELDS = frozenset({"key", "customer_key", "operator_key", "authorization"})


def make_logger(
    node_id: str, level: str = "INFO", stream: TextIO | None = None
) -> logging.Logger:
    """Return the logger of one node; several nodes may live in one process."""
    logger = logging.getLogger(f"egretshed.{node_id}")
    logger.handlers.clear()
    logger.propagate = False
    logger.setLevel(level)
    handler = logging.StreamHandler(stream or sys.stderr)
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
