"""Tables from peers: for nodes that leave reading to others, or that the store refuses.

Load pattern: every node of a large fleet waits at the store for changes that hardly
ever come, and each call is paid for. A few nodes, chosen by hashing, read the store;
the others wait at one of them in the same way. A reader that is silent, or whose own
state is old, is passed over at once, and the store itself is the last resort.

Load pattern: all VMs come back from a loss of power, and a configuration with thousands
of routes takes seconds over a small VM's link. Peers pass large rows on compressed.
"""

import asyncio
import zlib

from egretshed.environment import Environment
from egretshed.errors import (
    PeerRejected,
    PeerUnavailable,
    PlatformUnavailable,
    TooLargeForPeers,
)
from egretshed.feeds.follower import (
    FEED_WAIT_S,
    TableFollower,
    TableState,
)
from egretshed.gen.messages.ttypes import (
    TableFetch,
    TableRow,
    TableRows,
)
from egretshed.logs import log_event
from egretshed.membership.duty_owners import DutyOwners
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.platform.interface import (
    ChangeFeed,
    StoredRow,
    TableChanges,
)

# A call to a reader waits this long for a change, so that a silent one is found while
# a change can still be in force in time.
PEER_WAIT_S = 0.5
PEER_SLACK_S = 0.5
# A reader whose state was confirmed longer ago than this is behind the store.
READER_AGE_LIMIT_S = FEED_WAIT_S + 0.8
# A node whose readers failed it goes on with a store that answers for this long.
DIRECT_S = 3.0
# How often a node without a reader asks a store that does not answer. The time in which
# a change must be in force begins anew when the store is back.
STORE_TRY_PERIOD_S = 1.5
# How often a node without the store asks a peer; a change must be in force within
# seconds also there.
PERIOD_S = 0.4
LONG_AGO_MS = 1_000_000
# Largest row that is unpacked; the store's rows are smaller.
MAX_ROW_BYTES = 16 * 1024 * 1024
# Rows from this size on are passed on compressed.
COMPRESSED_FROM_BYTES = 4_000
# A node passes on what its link carries to a dozen others in half a second; larger
# changes are read from the store.
PASS_ON_S = 0.5
PASS_ON_NODES = 12
# Below this a node that starts gets the tables from its peers if it can: a megabyte
# from the store would take it more than 0.2 s.
SLOW_LINK_MBPS = 40.0
PEERS_FIRST_S = 1.0
# Time for a large answer on such a link, beside the wait for it.
LARGE_ANSWER_S = 1.0


class PeerFeed:
    """`ChangeFeed` that follows one reader."""

    def __init__(self, peers: PeerNetwork, node_id: str):
        self.peers = peers
        self.node_id = node_id

    async def read_table(self, table: str, part: str = "") -> TableChanges:
        reply = await self._call(TableFetch(table, -1, 0), LARGE_ANSWER_S)
        if not reply.is_whole:
            raise PlatformUnavailable(f"{self.node_id} has no whole table")
        return _changes(reply)

    async def changes(self, table: str, after: int, wait_s: float) -> TableChanges:
        wait_s = min(wait_s, PEER_WAIT_S)
        message = TableFetch(table, after, int(wait_s * 1000))
        reply = await self._call(message, wait_s + PEER_SLACK_S)
        if reply.is_whole and reply.version <= after:
            return TableChanges((), after, reply.regained_ms / 1000)
        return _changes(reply)

    async def _call(self, message: TableFetch, timeout_s: float) -> TableRows:
        try:
            reply = await self.peers.call(self.node_id, message, timeout_s)
        except PeerRejected as error:
            if error.fields.get("error") == TooLargeForPeers.code:
                raise TooLargeForPeers(str(error)) from error
            raise PlatformUnavailable(f"reader {self.node_id}: {error}") from error
        except PeerUnavailable as error:
            raise PlatformUnavailable(f"reader {self.node_id}: {error}") from error
        if reply.age_ms > READER_AGE_LIMIT_S * 1000:
            raise PlatformUnavailable(f"reader {self.node_id} is behind the store")
        return reply


class PeerTableSync:
    """Chooses each follower's source, and exchanges tables with peers."""

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        followers: dict[str, TableFollower],
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.followers = followers
        self._began_s = env.clock.monotonic_s()
        self._compressed: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._asks_store: set[str] = set()
        self._turns: dict[str, int] = {}
        self._asked_store_s: dict[str, float] = {}
        peers.handle(TableFetch, self._answer)

    def source(self, follower: TableFollower, store: ChangeFeed) -> ChangeFeed:
        """Return where to read a table from now."""
        readers = self._readers()
        if self.env.identity.node_id in readers:
            return store
        now_s = self.env.clock.monotonic_s()
        table = follower.table
        if follower.wants_store or self._may_ask_store(follower, now_s):
            self._note_asks_store(follower, now_s)
            return store
        self._asks_store.discard(table)
        if not follower.is_loaded:
            # The readers of a fleet that has just started may have slow links too.
            readers = self.owners.strong_nodes(SLOW_LINK_MBPS) or readers
        return PeerFeed(self.peers, self._next_reader(table, readers))

    def _next_reader(self, table: str, readers: list[str]) -> str:
        """Return the readers in turn.

        One that was cut off from the store does not know that it is behind; a change
        is then missed for as many short waits as there are such readers at most.
        """
        turn = self._turns.get(table)
        if turn is None:
            turn = self.env.random.randrange(len(readers))
        self._turns[table] = turn + 1
        return readers[turn % len(readers)]

    def _note_asks_store(self, follower: TableFollower, now_s: float) -> None:
        table = follower.table
        if table not in self._asked_store_s:
            # The first read only; the readers tell what changes after it.
            self._asked_store_s[table] = now_s - STORE_TRY_PERIOD_S
        elif follower.wants_store or table not in self._asks_store:
            self._asked_store_s[table] = now_s
            self._asks_store.add(table)
        follower.wants_store = False

    def _may_ask_store(self, follower: TableFollower, now_s: float) -> bool:
        """Return whether a node that is no reader asks the store itself.

        It does so at start, and for a while after its readers failed it. While the
        store is away all nodes lose their readers; they then ask the store only now
        and again.
        """
        asked_s = self._asked_store_s.get(follower.table)
        if asked_s is None:
            return self._may_begin_with_store(now_s)
        if follower.is_connected:
            return follower.table in self._asks_store and now_s - asked_s < DIRECT_S
        return now_s - asked_s >= STORE_TRY_PERIOD_S

    def _may_begin_with_store(self, now_s: float) -> bool:
        is_slow = self.env.settings.node.link_mbps < SLOW_LINK_MBPS
        return not is_slow or now_s - self._began_s >= PEERS_FIRST_S

    def _readers(self) -> list[str]:
        return self.owners.ranked("read")[: self.env.settings.feeds.store_readers]

    async def run(self) -> None:
        """Ask peers for tables that the store does not give, until cancelled."""
        while True:
            await self.env.clock.sleep(PERIOD_S * self.env.random.uniform(0.8, 1.2))
            behind = [f for f in self.followers.values() if self._is_behind(f)]
            if behind:
                await asyncio.gather(*(self._fetch(f) for f in behind))

    def _is_behind(self, follower: TableFollower) -> bool:
        return not follower.is_connected or follower.age_s() > READER_AGE_LIMIT_S

    async def _fetch(self, follower: TableFollower) -> None:
        others = self.owners.others()
        if not others:
            return
        node_id = self.env.random.choice(others)
        message = TableFetch(follower.table, follower.version_or_none())
        try:
            reply = await self.peers.call(node_id, message, LARGE_ANSWER_S)
            rows = _changes(reply).rows
        except (PeerUnavailable, PeerRejected, PlatformUnavailable):
            # Another peer is asked the next time.
            return
        state = TableState(reply.version, rows, reply.is_whole)
        if follower.adopt(state):
            log_event(
                self.env.logger,
                "table_adopted",
                table=follower.table,
                version=follower.version,
                peer=node_id,
                peer_age_s=reply.age_ms / 1000,
                is_whole=reply.is_whole,
            )

    def _limit_bytes(self) -> float:
        """Return how much this node passes on to each of its followers."""
        bytes_per_s = self.env.settings.node.link_mbps * 1e6 / 8
        return bytes_per_s * PASS_ON_S / PASS_ON_NODES

    def _wire(self, table: str, row: StoredRow) -> TableRow:
        if row.value is None or len(row.value) < COMPRESSED_FROM_BYTES:
            return TableRow(row.part, row.key, row.value, row.version)
        version, packed = self._compressed.get((table, row.key), (0, b""))
        if version != row.version:
            packed = zlib.compress(row.value)
            self._compressed[table, row.key] = (row.version, packed)
        return TableRow(row.part, row.key, packed, row.version, True)

    async def _answer(self, sender: Sender, message: TableFetch) -> TableRows:
        follower = self.followers.get(message.table)
        if follower is None or not follower.is_loaded:
            raise PlatformUnavailable(f"table {message.table} is not known here")
        if message.wait_ms:
            await follower.wait_changed(message.version, message.wait_ms / 1000)
        state = follower.changes_after(message.version)
        rows = [self._wire(message.table, row) for row in state.rows]
        size_bytes = sum(len(row.value or b"") for row in rows)
        if message.wait_ms is not None and size_bytes > self._limit_bytes():
            raise TooLargeForPeers(f"changes of {message.table} are large")
        age_ms = int(follower.age_s() * 1000)
        regained_s = follower.regained_s or 0.0
        regained_ms = int((self.env.clock.monotonic_s() - regained_s) * 1000)
        return TableRows(
            state.version, rows, state.is_whole, age_ms, min(regained_ms, LONG_AGO_MS)
        )


def _changes(reply: TableRows) -> TableChanges:
    rows = tuple(
        StoredRow(row.part, row.key, _value(row), row.version) for row in reply.rows
    )
    return TableChanges(rows, reply.version, reply.regained_ms / 1000, reply.is_whole)


def _value(row: TableRow) -> bytes | None:
    if not row.is_compressed:
        return row.value
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(row.value, MAX_ROW_BYTES)
    except zlib.error as error:
        raise PlatformUnavailable(f"row {row.key} of a peer: {error}") from error
    if not unpacker.eof:
        raise PlatformUnavailable(f"row {row.key} of a peer is cut")
    return value
