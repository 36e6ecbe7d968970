"""Active configuration and evacuated failure domains, followed through the store.

The active version never decreases within one incarnation of a node. A configuration
that cannot be decoded is ignored.
"""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.logs import log_event
from egretshed.platform.interface import StoredRow
from egretshed.platform.records import (
    MalformedRecord,
    decode_configuration,
)
from egretshed.platform.tables import (
    CONFIGURATION_KEY,
    evacuated_domain,
)
from egretshed.serving.matching import RouteTable


class ActiveConfiguration:
    """Active configuration and the failure domains that operators have evacuated."""

    def __init__(self, env: Environment):
        self.env = env
        self.table: RouteTable | None = None
        self.evacuated: set[str] = set()
        self.active_since_s = 0.0
        self.on_change: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        return self.table.configuration.version if self.table else 0

    def is_evacuated(self, failure_domain: str) -> bool:
        return failure_domain in self.evacuated

    def apply(self, rows: tuple[StoredRow, ...], is_whole: bool) -> None:
        """Apply changed rows of the operators' table, then call `on_change`."""
        for row in rows:
            domain = evacuated_domain(row.key)
            if domain is not None:
                self._set_evacuated(domain, row.value is not None)
            elif row.key == CONFIGURATION_KEY and row.value is not None:
                self._set_configuration(row.value)
        for callback in self.on_change:
            callback()

    def _set_evacuated(self, domain: str, is_evacuated: bool) -> None:
        if is_evacuated == (domain in self.evacuated):
            return
        if is_evacuated:
            self.evacuated.add(domain)
        else:
            self.evacuated.discard(domain)
        log_event(
            self.env.logger,
            "failure_domain_changed",
            failure_domain=domain,
            outcome="taken_out" if is_evacuated else "taken_back",
        )

    def _set_configuration(self, value: bytes) -> None:
        try:
            configuration = decode_configuration(value)
        except MalformedRecord as error:
            log_event(
                self.env.logger,
                "configuration_ignored",
                reason=str(error),
                in_force=self.version,
            )
            return
        if configuration.version <= self.version:
            return
        previous_version = self.version
        self.table = RouteTable(configuration)
        self.active_since_s = self.env.clock.monotonic_s()
        log_event(
            self.env.logger,
            "configuration_in_force",
            version=configuration.version,
            earlier_version=previous_version,
            routes=len(configuration.routes),
            keys=len(configuration.customers_by_key),
        )
