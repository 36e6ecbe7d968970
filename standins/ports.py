"""TCP ports for tests and benches that run at the same time.

A port that was found free may be bound by another process before its user listens on
it. Each process therefore leases whole blocks of ports: it keeps the first port of a
block bound, which excludes every other process from that block until it exits.
"""

import random
import socket

from standins.http_server import LOOPBACK

# Below Linux's default range of ephemeral ports, which starts at 32768, so that no
# outgoing connection takes the port of a process that is down for a while.
LOWEST_PORT = 11_000
HIGHEST_PORT = 32_000
BLOCK_PORTS = 100


class PortsExhausted(Exception):
    """Every block of ports is leased, by this process or by others."""


class PortLease:
    """Ports that no other lease of the machine returns while this one exists."""

    def __init__(self, lowest: int = LOWEST_PORT, highest: int = HIGHEST_PORT):
        self._blocks = list(range(lowest, highest, BLOCK_PORTS))
        random.SystemRandom().shuffle(self._blocks)
        self._locks: list[socket.socket] = []
        self._unused: list[int] = []

    def take(self, count: int) -> list[int]:
        """Return `count` ports that are free now and were not returned before.

        Raises `PortsExhausted`.
        """
        ports: list[int] = []
        while len(ports) < count:
            if not self._unused:
                self._lease_block()
            port = self._unused.pop()
            lock = _bind(port)
            if lock is not None:
                lock.close()
                ports.append(port)
        return ports

    def _lease_block(self) -> None:
        while self._blocks:
            first = self._blocks.pop()
            lock = _bind(first)
            if lock is not None:
                self._locks.append(lock)
                self._unused = list(range(first + 1, first + BLOCK_PORTS))
                return
        raise PortsExhausted("every block of ports is leased")

    def close(self) -> None:
        for lock in self._locks:
            lock.close()


def _bind(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or None if the port is in use."""
    bound = socket.socket()
    try:
        bound.bind((LOOPBACK, port))
    except OSError:
        bound.close()
        return None
    return bound


_process_lease = PortLease()


def free_ports(count: int) -> list[int]:
    """Return `count` different ports that only this process uses.

    Raises `PortsExhausted`.
    """
    return _process_lease.take(count)
