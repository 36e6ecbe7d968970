"""Record of the software versions that services have had, kept in the store.

A stream that no node knows, since all of them have restarted, may go on only if its
service had a single version. The list shows those versions whose servers are still
there; the record adds those whose servers left while no node was running.

Load pattern: a release changes the versions of a service twice, at its first and at its
last server. One node writes the record then; nodes read it with the list of nodes when
they join, without a further call.
"""

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
    """Loads the record when a node joins, and writes its changes as their owner."""

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
        self._written: _RecordWire = {}
        # When the record was last read; at first that was to join.
        self.read_s = env.clock.monotonic_s()

    async def read(self) -> None:
        """Read the record again, since changes of the list were missed.

        Raises `PlatformUnavailable`.
        """
        # When the call is sent, since its answer may be late.
        sent_s = self.env.clock.monotonic_s()
        await self.records.read_shared_records()
        self.load()
        self.read_s = sent_s

    def load(self) -> None:
        """Tell the registry of the versions in the record, if there is one.

        A version whose servers were still listed may have left at any time until now.
        """
        value = self.records.shared_records.get(RECORD_KEY)
        if value is None:
            return
        try:
            recorded = decode_untrusted(value, _RecordWire)
        except msgspec.DecodeError as error:
            log_event(self.env.logger, "version_record_ignored", reason=str(error))
            return
        self._written = recorded
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

    async def run(self) -> None:
        """Write the record whenever the versions change, until cancelled."""
        while True:
            if self.owners.is_owner(DUTY):
                await self._update()
            await self.env.clock.sleep(UPDATE_PERIOD_S)

    async def _update(self) -> None:
        if not self._has_changed():
            return
        try:
            if self._written:
                # Another owner may have written versions that this node has missed.
                await self.read()
                if not self._has_changed():
                    return
            current = self._current()
            await self.records.write_shared_record(
                RECORD_KEY, msgspec.json.encode(current)
            )
        except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
            log_event(self.env.logger, "version_record_not_written", reason=str(error))
            return
        self._written = current
        log_event(self.env.logger, "version_record_written", versions=current)

    def _has_changed(self) -> bool:
        current = self._current()
        return bool(current) and _listed(current) != _listed(self._written)

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


def _listed(record: _RecordWire) -> dict[str, set[str]]:
    """Return the versions of each service that are listed now."""
    return {
        service: {version for version, ended_ms in versions.items() if not ended_ms}
        for service, versions in record.items()
    }
