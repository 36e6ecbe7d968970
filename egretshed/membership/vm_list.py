"""Cached copy of the platform's VM list; kept while the platform is unavailable."""

from collections.abc import Callable

from egretshed.environment import Environment
from egretshed.errors import PlatformUnavailable
from egretshed.logs import log_event
from egretshed.platform.interface import (
    ListedVm,
    VmList,
)

ENTRY_ROLE = "entry"
JITTER_SHARE = 0.3
# Interval of the check whether a reachable node is missing from the cached list.
UNLISTED_CHECK_S = 2.0
# Delay after a read without that node, which may not have registered yet.
UNLISTED_RETRY_DELAY_S = 5.0


class ListedVms:
    """Entry nodes by id, and leaving backend servers, polled with jitter."""

    def __init__(self, env: Environment, vms: VmList):
        self.env = env
        self.vms = vms
        self.entries: dict[str, ListedVm] = {}
        self.revision = 0
        self.was_read = False
        self._leaving_backends: frozenset[str] = frozenset()

    def is_listed(self, node_id: str) -> bool:
        return node_id in self.entries

    def is_backend_leaving(self, replica_id: str) -> bool:
        return replica_id in self._leaving_backends

    async def read(self) -> bool:
        """Read the list; return False and keep the cached one if it is unavailable."""
        try:
            listed = await self.vms.read()
        except PlatformUnavailable as error:
            log_event(self.env.logger, "vm_list_unavailable", reason=str(error))
            return False
        entries = {vm.node_id: vm for vm in listed if vm.role == ENTRY_ROLE}
        if entries != self.entries or not self.was_read:
            self.entries = entries
            self.revision += 1
        self.was_read = True
        self._leaving_backends = frozenset(
            vm.node_id for vm in listed if vm.role != ENTRY_ROLE and vm.leaving
        )
        return True

    async def run(self, has_unlisted: Callable[[], bool]) -> None:
        """Poll the list until cancelled.

        A new node becomes known through peers first; the list is then read before the
        end of the period, for the node's cores and link speed.
        """
        while True:
            jitter = self.env.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            remaining_s = self.env.settings.membership.vm_list_period_s * jitter
            while remaining_s > 0 and not (self.was_read and has_unlisted()):
                step_s = min(remaining_s, UNLISTED_CHECK_S * jitter)
                await self.env.clock.sleep(step_s)
                remaining_s -= step_s
            await self.read()
            if has_unlisted():
                await self.env.clock.sleep(UNLISTED_RETRY_DELAY_S * jitter)
