"""The platform's list of VMs as last read; kept while the platform is down."""

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
# How often it is checked whether a reachable node is missing in the list as read.
UNLISTED_CHECK_S = 2.0
# Pause after a read that did not list it: the node may not have registered yet.
UNLISTED_PAUSE_S = 5.0


class ListedVms:
    """Entry nodes by id and leaving backend servers, from a jittered poll."""

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
        """Read the list once; return False and keep the last one if it is down."""
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
        """Read the list now and again until cancelled.

        A node that joined is learned of from its peers at once; its listed figures
        are then read before the next period.
        """
        while True:
            jitter = self.env.random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            left_s = self.env.settings.membership.vm_list_period_s * jitter
            while left_s > 0 and not (self.was_read and has_unlisted()):
                step_s = min(left_s, UNLISTED_CHECK_S * jitter)
                await self.env.clock.sleep(step_s)
                left_s -= step_s
            await self.read()
            if has_unlisted():
                await self.env.clock.sleep(UNLISTED_PAUSE_S * jitter)
