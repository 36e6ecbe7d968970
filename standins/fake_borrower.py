"""Fake slot borrower whose replica views are set by the test."""

from egretshed.slots.event_wait import wait_for_event
from egretshed.slots.records import (
    CallObservation,
    ReplicaView,
    Slot,
)


class FakeBorrower:
    """Grants a slot while a view has one free, and records requests and releases."""

    def __init__(self, clock, replica_ids: list[str]):
        self.clock = clock
        self.views = {
            replica_id: ReplicaView(
                replica_id, free=9, held=9, limit=6, warm=True, load_age_s=0.1
            )
            for replica_id in replica_ids
        }
        self.requested_replica_ids: list[str] = []
        self.released: list[tuple[Slot, CallObservation]] = []
        self.changed = None

    def set(self, replica_id: str, **fields) -> None:
        self.views[replica_id] = self.views[replica_id]._replace(**fields)

    def view(self, replica_id: str) -> ReplicaView:
        return self.views[replica_id]

    def take(self, replica_id: str, attempt_id: str, max_call_s: float) -> Slot | None:
        view = self.views[replica_id]
        if not view.free:
            return None
        self.set(replica_id, free=view.free - 1)
        return Slot(replica_id, attempt_id, self.clock.monotonic_s() + max_call_s)

    def release(self, slot: Slot, observation: CallObservation) -> None:
        self.released.append((slot, observation))
        view = self.views[slot.replica_id]
        self.set(slot.replica_id, free=view.free + 1)

    def request_slots(self, replica_ids: list[str]) -> None:
        self.requested_replica_ids += replica_ids

    async def wait_for_slot(self, replica_ids: list[str], timeout_s: float) -> bool:
        return await wait_for_event(self.clock, self.changed, timeout_s)
