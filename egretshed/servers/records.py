"""Entries of the platform's list of backend servers."""

from enum import Enum
from typing import NamedTuple


class ServerPhase(Enum):
    READY = "ready"
    LEAVING = "leaving"


class ServerAddress(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class ListedServer(NamedTuple):
    """Entry of the list of backend servers.

    `cold_s` is the remaining time for which the server is cold. `started_ms`
    distinguishes the incarnations of one `server_id`: a restarted server has lost all
    state. `version` is that of its software, which has no order. `sequence` orders the
    entries that one incarnation writes.
    """

    server_id: str
    service: str
    address: ServerAddress
    failure_domain: str
    phase: ServerPhase
    slots: int
    cold_s: float = 0.0
    started_ms: int = 0
    version: str = ""
    sequence: int = 0
