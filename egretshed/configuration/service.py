"""The configuration as the other slices use it, and changes to it."""

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
    check_changes,
    difference,
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

START_RETRY_S = 0.5
MAX_DELTAS_FROM_TABLE = 200
MAX_CHANGE_BYTES = 1024 * 1024
WRITE_ATTEMPTS = 3
CONFLICT_RECORDS = 20
# Bounds the reads of the whole fleet; peers spread new versions much sooner.
POLLS_PER_S = 40


class ConfigurationService:
    """Snapshot in force, its propagation, and checked changes.

    `start` returns once the newest version that the table or peers tell is in force.
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
        self._confirmed_s: float | None = None
        self._store = ConfigurationStore(env, platform.table)
        self._active = ActiveConfiguration(env)
        self._propagator = VersionPropagator(
            env,
            peers,
            membership,
            self._active,
            lambda: self.is_ready,
            self._confirm,
        )
        membership.version_source = lambda: self._active.version

    @property
    def current(self) -> Configuration:
        return self._active.current

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` after each step to a higher version."""
        self._active.subscribe(callback)

    def objects(self) -> dict[ObjectId, ObjectBody]:
        """Return the bodies in force by object id."""
        return dict(self._active.objects)

    def is_fresh(self) -> bool:
        """Return whether the table or a peer confirmed the version lately."""
        if not self.is_ready or self._confirmed_s is None:
            return False
        age_s = self.env.clock.monotonic_s() - self._confirmed_s
        return age_s <= self.env.settings.configuration.freshness_limit_s

    async def start(self) -> None:
        """Learn the newest version; retries until the table or a peer tells it."""
        while not await self._learn():
            jitter = self.env.random.uniform(0.7, 1.3)
            await self.env.clock.sleep(START_RETRY_S * jitter)
        self.is_ready = True
        self._confirm()
        log_event(self.env.logger, "configuration_ready", version=self.current.version)

    async def run(self) -> None:
        """Compare with the table now and then, until cancelled."""
        try:
            while True:
                await self.env.clock.sleep(self._poll_delay_s())
                await self._poll()
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

        `changes` has the new body by object id, None to remove the object. Raises
        `VersionConflict`, `ConfigurationInvalid`, `TableUnavailable` (not written) or
        `TableOutcomeUnknown` (the number of the version is in its fields).
        """
        for _ in range(WRITE_ATTEMPTS):
            head = await self._store.head()
            await self._check_base(base_version, head)
            await self._catch_up(head)
            if self._active.version != base_version:
                continue
            record = self._next_record(changes, operator, reason)
            try:
                await self._store.write(head, record)
            except TableConflict:
                continue
            self._accept(record)
            return record.version
        await self._check_base(base_version, await self._store.head())
        raise TableUnavailable("the change was not written; nothing has changed")

    async def revert(
        self, base_version: int, to_version: int, operator: str, reason: str
    ) -> int:
        """Write a new version with the objects of `to_version`; see `change`."""
        head = await self._store.head()
        await self._check_base(base_version, head)
        await self._catch_up(head)
        objects = await self.objects_at(to_version)
        if self._active.version != base_version:
            await self._check_base(base_version, await self._store.head())
        changes = difference(self._active.objects, objects)
        return await self.change(base_version, changes, operator, reason)

    async def history(self, limit: int) -> list[VersionRecord]:
        """Return the last `limit` records, newest first; raise `TableUnavailable`."""
        head = await self._store.head()
        records = await self._store.records(max(0, head.version - limit), head.version)
        return records[::-1]

    async def objects_at(self, version: int) -> dict[ObjectId, ObjectBody]:
        """Return the bodies at an earlier version; raise `NotFound`.

        Takes one row read per version between it and the one in force.
        """
        newest = self._active.version
        objects: Objects = self.objects()
        if not 0 <= version <= newest:
            raise NotFound(f"version {version} does not exist; newest is {newest}")
        records = await self._store.records(version, newest)
        if len(records) != newest - version:
            raise NotFound(f"the records back to version {version} are incomplete")
        for record in reversed(records):
            objects = with_changes(objects, record.previous)
        return objects

    def _next_record(
        self, changes: Changes, operator: str, reason: str
    ) -> VersionRecord:
        objects = self._active.objects
        version = self._active.version + 1
        check_changes(objects, changes)
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
            fault = {"path": "$", "message": f"change exceeds {MAX_CHANGE_BYTES} bytes"}
            raise ConfigurationInvalid("the change is too large", faults=[fault])
        return record

    def _accept(self, record: VersionRecord) -> None:
        log_event(
            self.env.logger,
            "configuration_accepted",
            version=record.version,
            operator=record.operator,
            reason=record.reason,
            objects=sorted(record.changes),
        )
        # A peer may have spread it already, read from the table meanwhile.
        self._active.apply(record)
        self._confirm()
        self._propagator.offer()

    async def _check_base(self, base_version: int, head: Head) -> None:
        if head.version == base_version:
            return
        after = max(min(base_version, head.version), head.version - CONFLICT_RECORDS)
        records = await self._store.records(after, head.version)
        raise VersionConflict(
            f"the change is based on version {base_version}, "
            f"but the newest is {head.version}",
            version=head.version,
            operator=records[-1].operator if records else "",
            reason=records[-1].reason if records else "",
            objects=sorted({name for r in records for name in r.changes}),
        )

    async def _learn(self) -> bool:
        try:
            version, objects = await self._store.load()
        except TableUnavailable:
            return await self._propagator.ask_several()
        self._active.adopt(version, objects)
        return self._active.version >= version

    async def _poll(self) -> None:
        try:
            head = await self._store.head()
            before = self._active.version
            await self._catch_up(head)
        except TableUnavailable:
            self.env.metrics.counter(
                "configuration_polls_failed_total", "Table polls without an answer"
            ).inc()
            return
        if head.version <= self._active.version:
            self._confirm()
        if self._active.version > before:
            self._propagator.offer()

    async def _catch_up(self, head: Head) -> None:
        if head.version - self._active.version > MAX_DELTAS_FROM_TABLE:
            self._active.adopt(*await self._store.load())
            return
        for record in await self._store.records(self._active.version, head.version):
            self._active.apply(record)

    def _confirm(self) -> None:
        self._confirmed_s = self.env.clock.monotonic_s()

    def _poll_delay_s(self) -> float:
        period_s = self.env.settings.configuration.poll_period_s
        fleet_period_s = len(self.membership.reachable()) / POLLS_PER_S
        return max(period_s, fleet_period_s) * self.env.random.uniform(0.7, 1.3)
