"""Request ids issued by a node, which it can run once without writing a claim row.

Their form is ``issued.<node_id>.<incarnation>.<number>.<mac>``. The MAC covers the
customer id as well, so that a customer can use only ids issued to it.
"""

import hashlib
import hmac
from typing import NamedTuple

import msgspec
from sortedcontainers import SortedDict

from egretshed.environment import Environment
from egretshed.errors import InvalidRequest
from egretshed.peers.codec import derive_key

PREFIX = "issued."
MAC_BYTES = 16
# Limits memory to about 1 MB: each gap left by ids that were never used adds a range.
MAX_RANGES = 10_000


class IssuedId(NamedTuple):
    node_id: str
    incarnation: int
    number: int


class NumberRanges:
    """Set of integers stored as ranges.

    Beyond `max_ranges` the two lowest ranges are merged. The numbers between them then
    count as members, so ids that old can no longer be used.
    """

    def __init__(self, max_ranges: int = MAX_RANGES):
        self._max_ranges = max_ranges
        self._ends: SortedDict = SortedDict()

    def __len__(self) -> int:
        return len(self._ends)

    def __contains__(self, number: int) -> bool:
        index = self._ends.bisect_right(number) - 1
        return index >= 0 and number <= self._ends.peekitem(index)[1]

    def add(self, number: int) -> bool:
        """Add the number; return whether it was absent."""
        if number in self:
            return False
        start = number
        index = self._ends.bisect_right(number) - 1
        if index >= 0 and self._ends.peekitem(index)[1] == number - 1:
            start = self._ends.peekitem(index)[0]
        self._ends[start] = self._ends.pop(number + 1, number)
        if len(self._ends) > self._max_ranges:
            first, _ = self._ends.popitem(0)
            _, end = self._ends.popitem(0)
            self._ends[first] = end
        return True


class IssuedIds:
    """Issues and verifies request ids; records which numbers this process has used."""

    def __init__(self, env: Environment):
        self._identity = env.identity
        self._keys = [derive_key(key) for key in env.settings.peers.keys]
        self._last_number = 0
        self._used = NumberRanges()

    def issue(self, customer_id: str, count: int) -> list[str]:
        first = self._last_number + 1
        self._last_number += count
        return [
            self._signed_id(customer_id, number)
            for number in range(first, self._last_number + 1)
        ]

    def parse(self, customer_id: str, request_id: str) -> IssuedId | None:
        """Return the parts of an issued id, or None for an id that the caller chose.

        Raises `InvalidRequest` if it is malformed or was not issued to this customer.
        """
        if not request_id.startswith(PREFIX):
            return None
        try:
            unsigned, mac = request_id.rsplit(".", 1)
            node_id, incarnation, number = unsigned[len(PREFIX) :].rsplit(".", 2)
            issued = IssuedId(node_id, int(incarnation), int(number))
        except ValueError:
            raise InvalidRequest("the issued request id is malformed") from None
        macs = [_mac(key, customer_id, unsigned) for key in self._keys]
        if not any([hmac.compare_digest(mac.encode(), each) for each in macs]):
            raise InvalidRequest("the request id was not issued to this customer")
        return issued

    def is_local(self, issued: IssuedId) -> bool:
        own = (self._identity.node_id, self._identity.incarnation)
        return (issued.node_id, issued.incarnation) == own

    def is_used(self, issued: IssuedId) -> bool:
        return issued.number in self._used

    def mark_used(self, issued: IssuedId) -> bool:
        """Mark an id of this process as used; return whether it was unused."""
        return self._used.add(issued.number)

    def _signed_id(self, customer_id: str, number: int) -> str:
        identity = self._identity
        unsigned = f"{PREFIX}{identity.node_id}.{identity.incarnation}.{number}"
        return f"{unsigned}.{_mac(self._keys[0], customer_id, unsigned).decode()}"


def _mac(key: bytes, customer_id: str, unsigned: str) -> bytes:
    signed = msgspec.json.encode([customer_id, unsigned])
    mac = hashlib.blake2b(signed, key=key, digest_size=MAC_BYTES, person=b"issued-id")
    return mac.hexdigest().encode()
