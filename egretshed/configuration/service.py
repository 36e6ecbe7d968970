"""Service by which the other packages read and change the configuration."""

from collections.abc import Callable

import msgspec

from egretshed.configuration.active import ActiveConfiguration
from egretshed.configuration.propagation import VersionPropagator
from egretshed.configuration.schema import (
    Configuration,
    ObjectBody,
    ObjectId,
)
from egretshed.configuration.store import (
    ConfigurationStore,
    Head,
)
from egretshed.configuration.validation import build_configuration
from egretshed.configuration.versions import (
    Changes,
    Objects,
    VersionRecord,
    diff_objects,
    validate_changes,
    with_changes,
)
from egretshed.environment import Environment
from egretshed.errors import (
    ConfigurationInvalid,
    NotFound,
    TableConflict,
    TableUnavailable,
    VersionConflict,
)
from egretshed.logs import log_event
from egretshed.membership.service import MembershipService
from egretshed.peers.network import PeerNetwork
from egretshed.platform.interface import Platform

START_RETRY_DELAY_S = 0.5
MAX_DELTAS_FROM_TABLE = 200
MAX_CHANGE_BYTES = 1024 * 1024
MAX_WRITE_ATTEMPTS = 3
MAX_CONFLICT_RECORDS = 20
# Limits the table reads of the whole fleet. Polling may be slow in a large fleet, since
# peers propagate new versions much sooner.
MAX_FLEET_POLLS_PER_S = 40


class ConfigurationService:
    """The active snapshot, its propagation between nodes, and validated changes.

    `start` returns once the newest version known to the table or to peers is active.
    """

    def __init__(
        self,
        env: Environment,
        platform: Platform,
        peers: PeerNetwork,
        membership: MembershipService,
    ):
        self.env = env
        self.membership = membership
        self.is_ready = False
        self._confirmed_at_s: float | None = None
        self._store = ConfigurationStore(env, platform.table)
        self._active = ActiveConfiguration(env)
        self._propagator = VersionPropagator(
            env,
            peers,
            membership,
            self._active,
            lambda: self.is_ready,
            self._mark_confirmed,
        )
        membership.version_source = lambda: self._active.version

    @property
    def current(self) -> Configuration:
        return self._active.current

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with the snapshot each time a higher version is activated."""
        self._active.subscribe(callback)

    def objects(self) -> dict[ObjectId, ObjectBody]:
        """Return the active object bodies by object id."""
        return dict(self._active.objects)

    def is_fresh(self) -> bool:
        """Return whether the table or a peer has confirmed the active version recently.

        The limit is the setting ``configuration.freshness_limit_s``.
        """
        if not self.is_ready or self._confirmed_at_s is None:
            return False
        age_s = self.env.clock.monotonic_s() - self._confirmed_at_s
        return age_s <= self.env.settings.configuration.freshness_limit_s

    async def start(self) -> None:
        """Load the newest version, retrying until the table or a peer answers."""
        while not await self._load_newest():
            jitter = self.env.random.uniform(0.7, 1.3)
            await self.env.clock.sleep(START_RETRY_DELAY_S * jitter)
        self.is_ready = True
        self._mark_confirmed()
        log_event(self.env.logger, "configuration_ready", version=self.current.version)

    async def run(self) -> None:
        """Poll the table for newer versions until cancelled."""
        try:
            while True:
                await self.env.clock.sleep(self._poll_delay_s())
                await self._poll_table()
        finally:
            self._propagator.stop()

    async def change(
        self,
        base_version: int,
        changes: dict[ObjectId, ObjectBody | None],
        operator: str,
        reason: str,
    ) -> int:
        """Write the version after `base_version` and return its number.

        `changes` maps object ids to new bodies, or to None to remove the object. Raises
        `VersionConflict` if `base_version` is not the newest, `ConfigurationInvalid`,
        `TableUnavailable` if nothing was written, or `TableOutcomeUnknown`, which has
        the number of the version among its fields.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            head = await self._store.head()
            await self._require_base_version(base_version, head)
            await self._catch_up(head)
            if self._active.version != base_version:
                continue
            record = self._next_record(changes, operator, reason)
            try:
                await self._store.write(head, record)
            except TableConflict:
                continue
            self._activate_written(record)
            return record.version
        await self._require_base_version(base_version, await self._store.head())
        raise TableUnavailable(
            "the change was not written; the configuration is unchanged"
        )

    async def revert(
        self, base_version: int, to_version: int, operator: str, reason: str
    ) -> int:
        """Write a new version with the objects of `to_version`.

        Raises like `change`, and `NotFound` like `objects_at`.
        """
        head = await self._store.head()
        await self._require_base_version(base_version, head)
        await self._catch_up(head)
        objects = await self.objects_at(to_version)
        if self._active.version != base_version:
            await self._require_base_version(base_version, await self._store.head())
        changes = diff_objects(self._active.objects, objects)
        return await self.change(base_version, changes, operator, reason)

    async def history(self, limit: int) -> list[VersionRecord]:
        """Return the last `limit` records, newest first; raise `TableUnavailable`."""
        head = await self._store.head()
        records = await self._store.records(max(0, head.version - limit), head.version)
        return records[::-1]

    async def objects_at(self, version: int) -> dict[ObjectId, ObjectBody]:
        """Return the object bodies of an earlier version.

        Raises `NotFound` if the version does not exist or a record after it is missing.
        Reads one row for each version between it and the active one.
        """
        newest = self._active.version
        objects: Objects = self.objects()
        if not 0 <= version <= newest:
            raise NotFound(f"version {version} does not exist; the newest is {newest}")
        records = await self._store.records(version, newest)
        if len(records) != newest - version:
            raise NotFound(f"records after version {version} are missing")
        for record in reversed(records):
            objects = with_changes(objects, record.previous)
        return objects

    def _next_record(
        self, changes: Changes, operator: str, reason: str
    ) -> VersionRecord:
        objects = self._active.objects
        version = self._active.version + 1
        validate_changes(objects, changes)
        changed = with_changes(objects, changes)
        result = build_configuration(version, changed, self._active.built)
        if result.is_error():
            raise result.error
        identity = self.env.identity
        record = VersionRecord(
            version,
            operator,
            reason,
            self.env.clock.wall_s(),
            changes,
            {object_id: objects.get(object_id) for object_id in changes},
            f"{identity.node_id}/{identity.incarnation}/"
            f"{self.env.random.getrandbits(64):016x}",
        )
        if len(msgspec.json.encode(record._asdict())) > MAX_CHANGE_BYTES:
            fault = {
                "path": "$",
                "message": f"the record exceeds {MAX_CHANGE_BYTES} bytes",
            }
            raise ConfigurationInvalid("the change is too large", faults=[fault])
        return record

    def _activate_written(self, record: VersionRecord) -> None:
        log_event(
            self.env.logger,
            "configuration_accepted",
            version=record.version,
            operator=record.operator,
            reason=record.reason,
            objects=sorted(record.changes),
        )
        # Has no effect if a peer has read the version from the table and propagated it
        # here already.
        self._active.apply(record)
        self._mark_confirmed()
        self._propagator.offer_to_peers()

    async def _require_base_version(self, base_version: int, head: Head) -> None:
        if head.version == base_version:
            return
        after = max(
            min(base_version, head.version), head.version - MAX_CONFLICT_RECORDS
        )
        records = await self._store.records(after, head.version)
        raise VersionConflict(
            f"the change is based on version {base_version}, "
            f"but the newest version is {head.version}",
            version=head.version,
            operator=records[-1].operator if records else "",
            reason=records[-1].reason if records else "",
            objects=sorted({name for r in records for name in r.changes}),
        )

    async def _load_newest(self) -> bool:
        try:
            version, objects = await self._store.load()
        except TableUnavailable:
            return await self._propagator.fetch_from_peers()
        self._active.adopt_snapshot(version, objects)
        return self._active.version >= version

    async def _poll_table(self) -> None:
        try:
            head = await self._store.head()
            before = self._active.version
            await self._catch_up(head)
        except TableUnavailable:
            self.env.metrics.counter(
                "configuration_polls_failed_total", "Table polls that failed"
            ).inc()
            return
        if head.version <= self._active.version:
            self._mark_confirmed()
        if self._active.version > before:
            self._propagator.offer_to_peers()

    async def _catch_up(self, head: Head) -> None:
        if head.version - self._active.version > MAX_DELTAS_FROM_TABLE:
            self._active.adopt_snapshot(*await self._store.load())
            return
        for record in await self._store.records(self._active.version, head.version):
            self._active.apply(record)

    def _mark_confirmed(self) -> None:
        self._confirmed_at_s = self.env.clock.monotonic_s()

    def _poll_delay_s(self) -> float:
        period_s = self.env.settings.configuration.poll_period_s
        fleet_period_s = len(self.membership.reachable()) / MAX_FLEET_POLLS_PER_S
        return max(period_s, fleet_period_s) * self.env.random.uniform(0.7, 1.3)
