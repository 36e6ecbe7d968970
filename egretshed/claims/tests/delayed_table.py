"""A table whose writes may take effect long after the caller has timed out."""

import asyncio

from egretshed.errors import TableOutcomeUnknown


class DelayedWriteTable:
    """Passes calls on to a `MemoryTable` and delays the next `delayed_writes` writes.

    These take effect after `delay_s`, while the caller gets `TableOutcomeUnknown` at
    once, as after a timeout. With `down_after_write` the next write takes effect, its
    reply is lost and the table goes down.
    """

    def __init__(self, memory):
        self.memory = memory
        self.table = memory.platform.table
        self.delayed_writes = 0
        self.delay_s = 5.0
        self.down_after_write = False
        self._tasks = set()

    async def read(self, keys):
        return await self.table.read(keys)

    async def scan(self, prefix, after="", limit=1000):
        return await self.table.scan(prefix, after, limit)

    async def transact(self, conditions, writes):
        if self.down_after_write and not self.memory.down:
            self.down_after_write = False
            self.memory.core.table.transact(conditions, writes)
            self.memory.down = True
            raise TableOutcomeUnknown("the reply was lost")
        if self.delayed_writes <= 0:
            await self.table.transact(conditions, writes)
            return
        self.delayed_writes -= 1
        task = asyncio.create_task(self._write_later(conditions, writes))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        raise TableOutcomeUnknown("no reply in time")

    async def _write_later(self, conditions, writes):
        await self.memory.clock.sleep(self.delay_s)
        self.memory.core.table.transact(conditions, writes)
