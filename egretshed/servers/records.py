"""What is known of a backend server, decoded from the platform's list."""

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
    """One entry of the list of backend servers.

    `started_ms` tells the incarnations of one `server_id` apart: a server that starts
    again holds and knows nothing of before.
    """

    server_id: str
    service: str
    address: ServerAddress
    failure_domain: str
    phase: ServerPhase
    slots: int
    cold_s: float = 0.0
    started_ms: int = 0
