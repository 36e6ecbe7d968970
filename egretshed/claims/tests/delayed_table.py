"""A table whose writes may take effect long after the reply was given up."""

import asyncio

from egretshed.errors import TableOutcomeUnknown


class DelayedWriteTable:
    """Passes calls to a `MemoryTable`; the next `late_writes` take effect `late_s` on.

    The caller gets `TableOutcomeUnknown` at once, as after a timeout. With
    `down_after_write` the next write loses its reply and the table goes down.
    """

    def __init__(self, memory):
        self.memory = memory
        self.inner = memory.platform.table
        self.late_writes = 0
        self.late_s = 5.0
        self.down_after_write = False
        self._tasks = set()

    async def read(self, keys):
        return await self.inner.read(keys)

    async def scan(self, prefix, after="", limit=1000):
        return await self.inner.scan(prefix, after, limit)

    async def transact(self, conditions, writes):
        if self.down_after_write and not self.memory.down:
            self.down_after_write = False
            self.memory.core.table.transact(conditions, writes)
            self.memory.down = True
            raise TableOutcomeUnknown("the reply was lost")
        if self.late_writes <= 0:
            await self.inner.transact(conditions, writes)
            return
        self.late_writes -= 1
        task = asyncio.create_task(self._apply(conditions, writes))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        raise TableOutcomeUnknown("no reply in time")

    async def _apply(self, conditions, writes):
        await self.memory.clock.sleep(self.late_s)
        self.memory.core.table.transact(conditions, writes)
