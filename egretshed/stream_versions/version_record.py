"""Record of the software versions that services have had, kept in the store.

A stream that no node knows, since all of them have restarted, may go on only if its
service had a single version. The list shows those versions whose servers are still
there; the record adds those whose servers left while no node was running.

The record only grows: whoever writes it adds what it knows to what is stored, and a
version is dropped by its age alone.

Load pattern: a release changes the versions of a service twice, at its first and at its
last server. One node writes the record then; nodes read it with the list of nodes when
they join, without a further call. A store that is restored from a copy puts an older
record back; each node that notices it reads the record, and the first one of those that
know more writes it.
"""

import math

import msgspec

from egretshed.environment import Environment
from egretshed.errors import (
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.logs import log_event
from egretshed.membership.duty_owners import DutyOwners
from egretshed.membership.registered_nodes import RegisteredNodes
from egretshed.platform.store import LATE_WRITE_LIMIT_S
from egretshed.servers.registry import ServerRegistry
from egretshed.stream_versions.records import STREAM_LIFE_S
from egretshed.untrusted_json import decode_untrusted

DUTY = "version_record"
RECORD_KEY = "!versions"
UPDATE_PERIOD_S = 0.25
# Allowed difference between the clocks of the nodes.
CLOCK_TOLERANCE_S = 5.0

# Wall time in ms at which each version of each service was last listed, 0 if it is now.
_RecordWire = dict[str, dict[str, int]]


class VersionRecord:
    """Loads the record when a node joins, and writes what the stored one lacks.

    The owner of the duty does so whenever the versions change, and every node after the
    store was restored.
    """

    def __init__(
        self,
        env: Environment,
        servers: ServerRegistry,
        owners: DutyOwners,
        records: RegisteredNodes,
    ):
        self.env = env
        self.servers = servers
        self.owners = owners
        self.records = records
        # The record as last read or written by this node.
        self._stored: _RecordWire = {}
        # Until when a write without an answer may still replace the record.
        self._recheck_until_s = -math.inf
        # When the record was last read; at first that was to join.
        self.read_s = env.clock.monotonic_s()
        records.on_restored.append(self._write)

    async def read(self) -> None:
        """Read the record again, since changes of the list were missed.

        Raises `PlatformUnavailable`.
        """
        # When the call is sent, since its answer may be late.
        sent_s = self.env.clock.monotonic_s()
        await self.records.read_shared_record(RECORD_KEY)
        self.load()
        self.read_s = sent_s

    def load(self) -> None:
        """Tell the registry of the versions in the record, if there is one.

        A version whose servers were still listed may have left at any time until now.
        """
        recorded = self._stored = self._decode(
            self.records.shared_records.get(RECORD_KEY)
        )
        now_s, wall_s = self.env.clock.monotonic_s(), self.env.clock.wall_s()
        for service, versions in recorded.items():
            ages_s = {
                version: max(0.0, wall_s - ended_ms / 1000 - CLOCK_TOLERANCE_S)
                if ended_ms
                else 0.0
                for version, ended_ms in versions.items()
            }
            self.servers.versions.note_recorded(
                service, {version: now_s - age_s for version, age_s in ages_s.items()}
            )

    def _decode(self, value: bytes | None) -> _RecordWire:
        try:
            return {} if value is None else decode_untrusted(value, _RecordWire)
        except msgspec.DecodeError as error:
            log_event(self.env.logger, "version_record_ignored", reason=str(error))
            return {}

    async def run(self) -> None:
        """Write the record whenever the versions change, until cancelled."""
        while True:
            if self.owners.is_owner(DUTY):
                await self._update()
            await self.env.clock.sleep(UPDATE_PERIOD_S)

    async def _update(self) -> None:
        is_settled = self.env.clock.monotonic_s() >= self._recheck_until_s
        if is_settled and not self._knows_more():
            return
        try:
            await self._write()
        except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
            log_event(self.env.logger, "version_record_not_written", reason=str(error))

    async def _write(self) -> None:
        """Add what this node knows to what is stored, if that lacks something."""
        sent_s = self.env.clock.monotonic_s()
        try:
            is_written = await self.records.update_shared_record(
                RECORD_KEY, self._merge
            )
        except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
            # What is stored is not known; the next period reads it again.
            self._stored = {}
            if isinstance(error, TableOutcomeUnknown):
                self._recheck_until_s = sent_s + LATE_WRITE_LIMIT_S
            raise
        if is_written:
            log_event(self.env.logger, "version_record_written", versions=self._stored)

    def _merge(self, stored: bytes | None) -> bytes | None:
        """Return the record with what this node knows; see `update_shared_record`."""
        self.load()
        if not self._knows_more():
            return stored
        self._stored = self._current()
        return msgspec.json.encode(self._stored)

    def _knows_more(self) -> bool:
        """Return whether the record lacks something that this node knows."""
        return any(
            _is_news(ended_ms, self._stored.get(service, {}).get(version))
            for service, versions in self._current().items()
            for version, ended_ms in versions.items()
        )

    def _current(self) -> _RecordWire:
        now_s, wall_s = self.env.clock.monotonic_s(), self.env.clock.wall_s()
        return {
            service: {
                version: 0
                if seen_s is None
                else int((wall_s - (now_s - seen_s)) * 1000)
                for version, seen_s in versions.items()
            }
            for service, versions in self.servers.versions.recent(STREAM_LIFE_S).items()
        }


def _is_news(ended_ms: int, recorded_ms: int | None) -> bool:
    """Return whether a time differs from that in the record, None if it has none.

    A time that was read from the record may be later by the tolerance of the clocks.
    """
    if recorded_ms is None or not (ended_ms and recorded_ms):
        return ended_ms != recorded_ms
    return ended_ms - recorded_ms > 2 * CLOCK_TOLERANCE_S * 1000
