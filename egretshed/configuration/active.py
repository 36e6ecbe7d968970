"""The active version of the configuration on this node; it never decreases."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from egretshed.configuration.schema import (
    EMPTY_CONFIGURATION,
    Configuration,
)
from egretshed.configuration.validation import (
    BuiltConfiguration,
    build_configuration,
)
from egretshed.configuration.versions import (
    Objects,
    VersionRecord,
    with_changes,
)
from egretshed.environment import Environment
from egretshed.errors import EgretshedError
from egretshed.invariants import require
from egretshed.logs import log_event

MAX_KEPT_DELTAS_BYTES = 8 * 1024 * 1024
MAX_KEPT_DELTAS = 256


class ActiveConfiguration:
    """The active snapshot, its objects and the encoded records of recent versions.

    The records are kept as deltas for peers that are a few versions behind.
    """

    def __init__(self, env: Environment):
        self.env = env
        self.current: Configuration = EMPTY_CONFIGURATION
        self.objects: Objects = {}
        self._deltas: OrderedDict[int, bytes] = OrderedDict()
        self._deltas_bytes = 0
        self._callbacks: list[Callable[[Configuration], None]] = []

    @property
    def version(self) -> int:
        return self.current.version

    @property
    def built(self) -> BuiltConfiguration:
        return BuiltConfiguration(self.current, self.objects)

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        self._callbacks.append(callback)

    def apply(self, record: VersionRecord) -> bool:
        """Activate the next version; return False if `record` is another or invalid."""
        if record.version != self.version + 1:
            return False
        objects = with_changes(self.objects, record.changes)
        if not self._activate(record.version, objects):
            return False
        self._keep_delta(record)
        return True

    def adopt_snapshot(self, version: int, objects: Objects) -> bool:
        """Activate a complete snapshot; return False if not newer or if invalid."""
        if version <= self.version:
            return False
        if not self._activate(version, objects):
            return False
        self._deltas.clear()
        self._deltas_bytes = 0
        return True

    def deltas_after(self, version: int) -> list[tuple[int, bytes]] | None:
        """Return the encoded records after `version`, or None if one is not kept."""
        wanted = range(version + 1, self.version + 1)
        if any(number not in self._deltas for number in wanted):
            return None
        return [(number, self._deltas[number]) for number in wanted]

    def _activate(self, version: int, objects: Objects) -> bool:
        result = build_configuration(version, objects, self.built)
        if result.is_error():
            # Versions are validated before they are written, so a fault here means
            # that this node runs an older release than the node that wrote it.
            log_event(
                self.env.logger,
                "configuration_not_understood",
                version=version,
                faults=result.error.faults,
            )
            return False
        require(
            self.env,
            version > self.version,
            "P9_version_rises",
            version=version,
            in_force=self.version,
        )
        self.current = result.ok
        self.objects = objects
        self.env.metrics.gauge(
            "configuration_version", "Active version of the configuration"
        ).set(version)
        log_event(self.env.logger, "configuration_in_force", version=version)
        self._notify_subscribers()
        return True

    def _notify_subscribers(self) -> None:
        for callback in self._callbacks:
            try:
                callback(self.current)
            except EgretshedError as error:
                log_event(
                    self.env.logger, "configuration_callback_failed", error=str(error)
                )

    def _keep_delta(self, record: VersionRecord) -> None:
        body = msgspec.json.encode(record._asdict())
        self._deltas[record.version] = body
        self._deltas_bytes += len(body)
        while (
            self._deltas_bytes > MAX_KEPT_DELTAS_BYTES
            or len(self._deltas) > MAX_KEPT_DELTAS
        ):
            _, dropped = self._deltas.popitem(last=False)
            self._deltas_bytes -= len(dropped)
