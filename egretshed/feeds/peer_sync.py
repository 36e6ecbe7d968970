"""Synchronises tables between peers, to keep load off the store and survive its loss.

Load pattern: every node of a large fleet would poll the store for changes that are
rare, and each call is billed. A few nodes, the readers, are therefore chosen by hashing
and long-poll the store; the others long-poll a reader. A reader that does not respond,
or whose own state is stale, is skipped at once; the store itself is the fallback.

Load pattern: all VMs restart after a power failure, and a configuration with thousands
of routes takes seconds over a small VM's link. Peers send large rows compressed.
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
    LONG_POLL_S,
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

# Long-poll time at a reader. It is short, so that an unresponsive reader is detected
# early enough for a change to be in force in time.
PEER_LONG_POLL_S = 0.5
PEER_TIMEOUT_MARGIN_S = 0.5
# A reader whose state was confirmed longer ago than this counts as stale.
READER_MAX_AGE_S = LONG_POLL_S + 0.8
# After its readers failed, a node reads a responsive store directly for this long.
DIRECT_READ_DURATION_S = 3.0
# Interval at which a node without a working reader retries an unresponsive store. The
# time limit for a change to be in force restarts when the store recovers.
STORE_RETRY_PERIOD_S = 1.5
# A larger fleet retries less often: while the store is down its nodes all retry it.
FULL_RATE_NODES = 100
# Interval at which a node without access to the store fetches from a peer. Changes must
# be in force within seconds on such a node too.
PEER_FETCH_PERIOD_S = 0.4
# Upper limit of `regained_ms` in replies.
MAX_REGAINED_MS = 1_000_000
# Limit of a decompressed row; the store's rows are smaller.
MAX_ROW_BYTES = 16 * 1024 * 1024
# Rows of at least this size are sent compressed.
MIN_COMPRESSED_BYTES = 4_000
# A node forwards at most the changes that its link can send to `FORWARD_FANOUT` peers
# within `FORWARD_BUDGET_S`; peers read larger changes from the store.
FORWARD_BUDGET_S = 0.5
FORWARD_FANOUT = 12
# A starting node with a slower link than this tries to fetch the tables from its peers
# first: reading a megabyte from the store would take it more than 0.2 s.
SLOW_LINK_MBPS = 40.0
# Time after the start for which such a node does not read the store.
PEERS_FIRST_DURATION_S = 1.0
# Call timeout for a reply that may hold a whole table, sized for such a link.
LARGE_REPLY_TIMEOUT_S = 1.0


class PeerFeed:
    """`ChangeFeed` that reads from one peer, a reader of the store."""

    def __init__(self, peers: PeerNetwork, node_id: str):
        self.peers = peers
        self.node_id = node_id

    async def read_table(self, table: str, part: str = "") -> TableChanges:
        reply = await self._call(TableFetch(table, -1, 0), LARGE_REPLY_TIMEOUT_S)
        if not reply.is_whole:
            raise PlatformUnavailable(
                f"reader {self.node_id} sent changes instead of the full table"
            )
        return _decode_changes(reply)

    async def changes(self, table: str, after: int, wait_s: float) -> TableChanges:
        wait_s = min(wait_s, PEER_LONG_POLL_S)
        message = TableFetch(table, after, int(wait_s * 1000))
        reply = await self._call(message, wait_s + PEER_TIMEOUT_MARGIN_S)
        if reply.is_whole and reply.version <= after:
            return TableChanges((), after, reply.regained_ms / 1000)
        return _decode_changes(reply)

    async def _call(self, message: TableFetch, timeout_s: float) -> TableRows:
        try:
            reply = await self.peers.call(self.node_id, message, timeout_s)
        except PeerRejected as error:
            if error.fields.get("error") == TooLargeForPeers.code:
                raise TooLargeForPeers(str(error)) from error
            raise PlatformUnavailable(f"reader {self.node_id}: {error}") from error
        except PeerUnavailable as error:
            raise PlatformUnavailable(f"reader {self.node_id}: {error}") from error
        if reply.age_ms > READER_MAX_AGE_S * 1000:
            raise PlatformUnavailable(f"reader {self.node_id} has stale state")
        return reply


class PeerTableSync:
    """Selects the source of each followed table and exchanges tables with peers.

    A node reads the store if it is a reader, after its readers failed, or at start;
    otherwise it follows a reader. Tables that get nothing from their source are fetched
    from random peers by `run`.
    """

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
        self._started_s = env.clock.monotonic_s()
        # Version and compressed value of large rows, by table, part and key.
        self._compressed_rows: dict[tuple[str, str, str], tuple[int, bytes]] = {}
        # Tables read directly after a reader failed, and when that began.
        self._direct_read_tables: set[str] = set()
        self._direct_read_since_s: dict[str, float] = {}
        # Position in the round robin over the readers, by table.
        self._reader_indexes: dict[str, int] = {}
        peers.handle(TableFetch, self._handle_table_fetch)

    def source(self, follower: TableFollower, store: ChangeFeed) -> ChangeFeed:
        """Return the source of the next read of a table."""
        readers = self._readers()
        if self.env.identity.node_id in readers:
            return store
        now_s = self.env.clock.monotonic_s()
        table = follower.table
        if follower.must_read_store or self._may_read_store(follower, now_s):
            self._record_store_read(follower, now_s)
            return store
        self._direct_read_tables.discard(table)
        if not follower.is_loaded:
            # After a start of the whole fleet, readers may have slow links as well.
            readers = self.owners.nodes_with_fast_link(SLOW_LINK_MBPS) or readers
        return PeerFeed(self.peers, self._next_reader(table, readers))

    def _next_reader(self, table: str, readers: list[str]) -> str:
        """Return the next reader in round-robin order, from a random first one.

        A reader that has just lost the store does not know yet that it is stale. With
        round robin, a change is delayed by at most `PEER_LONG_POLL_S` for each such
        reader.
        """
        index = self._reader_indexes.get(table)
        if index is None:
            index = self.env.random.randrange(len(readers))
        self._reader_indexes[table] = index + 1
        return readers[index % len(readers)]

    def _record_store_read(self, follower: TableFollower, now_s: float) -> None:
        table = follower.table
        if table not in self._direct_read_since_s:
            # Only the first read goes to the store; readers deliver later changes.
            self._direct_read_since_s[table] = now_s - STORE_RETRY_PERIOD_S
        elif follower.must_read_store or table not in self._direct_read_tables:
            self._direct_read_since_s[table] = now_s
            self._direct_read_tables.add(table)
        follower.must_read_store = False

    def _may_read_store(self, follower: TableFollower, now_s: float) -> bool:
        """Return whether a node that is not a reader may read the store directly.

        It may at start, and for `DIRECT_READ_DURATION_S` after its readers failed.
        While the store is down, all nodes lose their readers; each then retries the
        store only every `store_retry_period_s`.
        """
        since_s = self._direct_read_since_s.get(follower.table)
        if since_s is None and follower.is_loaded and follower.is_connected:
            # The node read the store before it knew its peers.
            return False
        if since_s is None:
            return self._may_read_store_at_start(now_s)
        if follower.is_connected:
            return (
                follower.table in self._direct_read_tables
                and now_s - since_s < DIRECT_READ_DURATION_S
            )
        return now_s - since_s >= store_retry_period_s(1 + len(self.owners.others()))

    def _may_read_store_at_start(self, now_s: float) -> bool:
        is_slow = self.env.settings.node.link_mbps < SLOW_LINK_MBPS
        return not is_slow or now_s - self._started_s >= PEERS_FIRST_DURATION_S

    def _readers(self) -> list[str]:
        return self.owners.ranked("read")[: self.env.settings.feeds.store_readers]

    async def run(self) -> None:
        """Fetch tables without a current source from peers, until cancelled."""
        while True:
            await self.env.clock.sleep(
                PEER_FETCH_PERIOD_S * self.env.random.uniform(0.8, 1.2)
            )
            self._drop_compressed_rows()
            stale = [f for f in self.followers.values() if self._is_stale(f)]
            if stale:
                await asyncio.gather(*(self._fetch_from_peer(f) for f in stale))

    def _is_stale(self, follower: TableFollower) -> bool:
        return not follower.is_connected or follower.age_s() > READER_MAX_AGE_S

    async def _fetch_from_peer(self, follower: TableFollower) -> None:
        others = self.owners.others()
        if not others:
            return
        node_id = self.env.random.choice(others)
        message = TableFetch(follower.table, follower.known_version())
        try:
            reply = await self.peers.call(node_id, message, LARGE_REPLY_TIMEOUT_S)
            rows = _decode_changes(reply).rows
        except (PeerUnavailable, PeerRejected, PlatformUnavailable):
            # The next period tries another random peer.
            return
        state = TableState(reply.version, rows, reply.is_whole, reply.age_ms / 1000)
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

    def _max_reply_bytes(self) -> float:
        """Return the size limit of the changes sent to one following peer."""
        bytes_per_s = self.env.settings.node.link_mbps * 1e6 / 8
        return bytes_per_s * FORWARD_BUDGET_S / FORWARD_FANOUT

    def _encode_row(self, table: str, row: StoredRow) -> TableRow:
        if row.value is None or len(row.value) < MIN_COMPRESSED_BYTES:
            return TableRow(row.part, row.key, row.value, row.version)
        cached_as = (table, row.part, row.key)
        version, compressed = self._compressed_rows.get(cached_as, (0, b""))
        if version != row.version:
            compressed = zlib.compress(row.value)
            self._compressed_rows[cached_as] = (row.version, compressed)
        return TableRow(row.part, row.key, compressed, row.version, True)

    def _drop_compressed_rows(self) -> None:
        """Drop the compressed values of rows that were removed."""
        for table, part, key in list(self._compressed_rows):
            if (part, key) not in self.followers[table].rows:
                del self._compressed_rows[table, part, key]

    async def _handle_table_fetch(
        self, sender: Sender, message: TableFetch
    ) -> TableRows:
        follower = self.followers.get(message.table)
        if follower is None or not follower.is_loaded:
            raise PlatformUnavailable(f"table {message.table} is not loaded here")
        if message.wait_ms:
            await follower.wait_changed(message.version, message.wait_ms / 1000)
        state = follower.changes_after(message.version)
        rows = [self._encode_row(message.table, row) for row in state.rows]
        size_bytes = sum(len(row.value or b"") for row in rows)
        if message.wait_ms is not None and size_bytes > self._max_reply_bytes():
            raise TooLargeForPeers(
                f"changes of table {message.table} take {size_bytes} bytes, more than"
                " this node's link may forward"
            )
        age_ms = int(follower.age_s() * 1000)
        regained_s = follower.regained_s or 0.0
        regained_ms = int((self.env.clock.monotonic_s() - regained_s) * 1000)
        return TableRows(
            state.version,
            rows,
            state.is_whole,
            age_ms,
            min(regained_ms, MAX_REGAINED_MS),
        )


def store_retry_period_s(node_count: int) -> float:
    """Return the interval at which each node retries a store that does not respond.

    Load pattern: the store is down or serves a part of the fleet. The nodes that reach
    it first pass on its rows, so the retries of all nodes together are limited.
    """
    return STORE_RETRY_PERIOD_S * max(1.0, node_count / FULL_RATE_NODES)


def _decode_changes(reply: TableRows) -> TableChanges:
    rows = tuple(
        StoredRow(row.part, row.key, _decode_value(row), row.version)
        for row in reply.rows
    )
    return TableChanges(
        rows,
        reply.version,
        reply.regained_ms / 1000,
        reply.is_whole,
        reply.age_ms / 1000,
    )


def _decode_value(row: TableRow) -> bytes | None:
    if not row.is_compressed:
        return row.value
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(row.value, MAX_ROW_BYTES)
    except zlib.error as error:
        raise PlatformUnavailable(f"row {row.key} from a peer: {error}") from error
    if not decompressor.eof:
        raise PlatformUnavailable(f"row {row.key} from a peer is truncated")
    return value
