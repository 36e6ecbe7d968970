"""Quarantined inputs, as far as this node knows them.

The node that blames an input tells all others, and stores a record from which nodes
that start later learn of it. Nodes also tell each other at random, for those that
missed the message. A quarantine ends by itself; the input is then on probation, in
which a single crash brings a longer quarantine. An input that has run to its end after
the first of the crashes that it is blamed for is cleared by the node that knows this.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

import msgspec

from egretshed.environment import Environment
from egretshed.errors import (
    InputQuarantined,
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.gen.messages.ttypes import (
    InputCleared,
    InputQuarantine,
)
from egretshed.logs import log_event
from egretshed.membership.duty_owners import DutyOwners
from egretshed.membership.registered_nodes import (
    MAX_RECORD_KEY_BYTES,
    RegisteredNodes,
)
from egretshed.peers.network import (
    PeerNetwork,
    Sender,
)
from egretshed.placement.duty import engine_duty
from egretshed.platform.store import LATE_WRITE_LIMIT_S
from egretshed.quarantine.completed_inputs import CompletedInputs
from egretshed.quarantine.inputs import kind_of
from egretshed.untrusted_json import decode_untrusted

# Duration of the first quarantine of an input; each further one is twice as long.
BASE_DURATION_S = 120.0
MAX_DURATION_S = 3600.0
PROBATION_S = 3600.0
# Limit on the inputs that are quarantined or on probation.
MAX_ENTRIES = 256
UPDATE_PERIOD_S = 0.5
# Quarantines that a node repeats to another one in each period.
REPEATED_NOTICES = 8
RECORD_PREFIX = "!quarantine/"


class _RecordWire(msgspec.Struct):
    level: int


@dataclass
class QuarantinedInput:
    """One input; `level` counts its quarantines before this one.

    `service` is empty if requests with it are refused for all services. `since_s` is
    the time of the first of the crashes that it is blamed for. `is_cleared` tells that
    it has run to its end since. `pending_record` tells that this node must still write
    the record, or remove it, and `recheck_until_s` until when a write of it without an
    answer may still be performed.
    """

    service: str
    input_id: str
    level: int
    until_s: float
    since_s: float
    is_released: bool = False
    is_cleared: bool = False
    pending_record: bool = False
    recheck_until_s: float = -math.inf

    def must_update_record(self, now_s: float) -> bool:
        return self.pending_record or now_s < self.recheck_until_s


class InputGuard:
    """Refuses requests with a quarantined input.

    `on_quarantined` are called with the service and the id of an input that this node
    has begun to refuse, `on_cleared` with one that has run to its end. The service of
    an input that is refused for all services is empty.

    Example::

        guard.impose("engine", "5c1e07a2", crashes=3, since_s=now_s - 2.0)
        guard.check("engine", state.input_ids)  # raises InputQuarantined
    """

    def __init__(
        self,
        env: Environment,
        peers: PeerNetwork,
        owners: DutyOwners,
        records: RegisteredNodes,
    ):
        self.env = env
        self.peers = peers
        self.owners = owners
        self.records = records
        self.completed = CompletedInputs()
        self.on_quarantined: list[Callable[[str, str], None]] = []
        self.on_cleared: list[Callable[[str, str], None]] = []
        self._inputs: dict[tuple[str, str], QuarantinedInput] = {}
        # Quarantines that were dropped while the table was full, and whose records this
        # node must still remove.
        self._dropped: deque[QuarantinedInput] = deque(maxlen=MAX_ENTRIES)
        # Stored records that were applied; the store's copy here may be old.
        self._applied_records: dict[str, bytes] = {}
        records.on_restored.append(self._check_records)
        peers.handle(InputQuarantine, self._on_quarantine)
        peers.handle(InputCleared, self._on_cleared)

    def check(self, service: str, input_ids: tuple[str, ...]) -> None:
        """Raise `InputQuarantined` if an input of a request is quarantined."""
        notice = self.notice_for(service, input_ids)
        if notice is not None:
            raise _refusal(notice)

    def remaining_s(self, service: str, input_id: str) -> float:
        """Return for how long an input is still quarantined, 0 if it is not."""
        known = self._inputs.get(_key(service, input_id))
        if known is None or known.is_released:
            return 0.0
        return max(0.0, known.until_s - self.env.clock.monotonic_s())

    def is_on_probation(self, service: str, input_id: str) -> bool:
        known = self._inputs.get(_key(service, input_id))
        if known is None or known.is_cleared:
            return False
        return not self.remaining_s(service, input_id)

    def end_probation(self, service: str, input_id: str) -> None:
        """Forget the earlier quarantines of an input that servers run again."""
        if self.is_on_probation(service, input_id):
            del self._inputs[_key(service, input_id)]

    def impose(self, service: str, input_id: str, crashes: int, since_s: float) -> None:
        """Quarantine an input in all nodes."""
        known = self._inputs.get(_key(service, input_id))
        level = 0 if known is None else known.level + 1
        duration_s = quarantine_duration_s(level)
        if not self._add(
            service, input_id, level, duration_s, since_s, "blamed", crashes
        ):
            return
        self._inputs[_key(service, input_id)].pending_record = True
        for node_id in self.owners.others():
            self.tell(node_id, service, input_id)

    def tell(self, node_id: str, service: str, input_id: str) -> None:
        """Tell a node about a quarantine."""
        self.peers.send(node_id, self._notice(service, input_id))

    def refuse(self, notice: InputQuarantine) -> NoReturn:
        """Refuse a request for which an owner has returned a quarantine."""
        self._learn(notice, "placement")
        raise _refusal(notice)

    def has_completed(self, service: str, input_id: str, since_s: float) -> bool:
        """Return whether this node knows that an input ran to its end after a time."""
        return self.completed.has_since(_key(service, input_id), since_s)

    def record_completion(self, service: str, input_ids: tuple[str, ...]) -> None:
        """Note that a server has run a request to its end, which clears its inputs."""
        now_s = self.env.clock.monotonic_s()
        for input_id in input_ids:
            key = _key(service, input_id)
            self.completed.add(key, now_s)
            known = self._inputs.get(key)
            if known is not None and not known.is_cleared:
                self._clear_everywhere(*key)

    def _clear_everywhere(self, service: str, input_id: str) -> None:
        self._clear(service, input_id, "completion")
        for node_id in self.owners.others():
            self.peers.send(node_id, InputCleared(service, input_id))

    def _clear(self, service: str, input_id: str, source: str) -> None:
        """End the quarantine or probation of an input that has run to its end."""
        for listener in self.on_cleared:
            listener(service, input_id)
        known = self._inputs.get(_key(service, input_id))
        if known is None or known.is_cleared:
            return
        known.is_cleared = True
        self._release(known)
        self._log("input_cleared", known, source=source)

    async def _on_cleared(self, sender: Sender, message: InputCleared) -> None:
        self._clear(message.service_name, message.input_id, "notice")

    def _learn(self, notice: InputQuarantine, source: str) -> None:
        since_s = self.env.clock.monotonic_s() - (notice.since_ms or 0) / 1000
        self._add(
            notice.service_name,
            notice.input_id,
            notice.level,
            notice.duration_ms / 1000,
            since_s,
            source,
        )
        if self.has_completed(notice.service_name, notice.input_id, since_s):
            self._clear_everywhere(notice.service_name, notice.input_id)

    def notice_for(
        self, service: str, input_ids: tuple[str, ...]
    ) -> InputQuarantine | None:
        """Return the notice of a quarantine that concerns a request, or None."""
        for input_id in input_ids if self._inputs else ():
            if self.remaining_s(service, input_id):
                return self._notice(service, input_id)
        return None

    def _notice(self, service: str, input_id: str) -> InputQuarantine:
        known = self._inputs[_key(service, input_id)]
        now_s = self.env.clock.monotonic_s()
        return InputQuarantine(
            known.service,
            input_id,
            int((known.until_s - now_s) * 1000),
            known.level,
            int((now_s - known.since_s) * 1000),
        )

    def _add(
        self,
        service: str,
        input_id: str,
        level: int,
        duration_s: float,
        since_s: float,
        source: str,
        crashes: int | None = None,
    ) -> bool:
        """Add a quarantine unless the same or a later one is known."""
        key = _key(service, input_id)
        known = self._inputs.get(key)
        is_in_force = bool(self.remaining_s(service, input_id))
        if known is not None and known.level >= level:
            if is_in_force or known.is_cleared:
                return False
        until_s = self.env.clock.monotonic_s() + duration_s
        if known is None and not self._make_room(until_s, source == "blamed"):
            return False
        added = QuarantinedInput(*key, level, until_s, since_s)
        self._inputs[key] = added
        self.env.metrics.counter(
            "input_quarantines_total",
            "Quarantines of inputs that crash servers",
            ("kind", "source"),
        ).labels(kind_of(input_id), source).inc()
        self._log(
            "input_quarantined",
            added,
            duration_s=round(duration_s, 1),
            crashes=crashes,
            source=source,
        )
        for listener in self.on_quarantined:
            listener(*key)
        return True

    def _make_room(self, until_s: float, is_blamed: bool) -> bool:
        """Return whether another input may be kept, dropping one if the table is full.

        Released inputs go first, then the quarantine that ends first. One that another
        node knows replaces only such that end earlier: else two nodes with full tables
        would replace each other's quarantines again and again.
        """
        if len(self._inputs) < MAX_ENTRIES:
            return True
        first = min(self._inputs.values(), key=lambda i: (not i.is_released, i.until_s))
        if not (first.is_released or is_blamed or first.until_s < until_s):
            return False
        del self._inputs[(first.service, first.input_id)]
        if not first.is_released:
            self._release(first)
            self._log("quarantine_dropped", first)
        if first.pending_record:
            self._dropped.append(first)
        return True

    async def _on_quarantine(self, sender: Sender, notice: InputQuarantine) -> None:
        known = self._inputs.get(_key(notice.service_name, notice.input_id))
        if known is not None and known.is_cleared and known.level >= notice.level:
            self.peers.send(
                sender.node_id, InputCleared(notice.service_name, notice.input_id)
            )
            return
        self._learn(notice, "notice")

    async def run(self) -> None:
        """Follow the stored records, end quarantines and keep the records, forever."""
        while True:
            self._load_records()
            self._release_ended()
            self._repeat_notices()
            await self._update_records()
            await self.env.clock.sleep(UPDATE_PERIOD_S)

    def _repeat_notices(self) -> None:
        """Tell one other node about quarantines, in case that it missed a notice."""
        now_s = self.env.clock.monotonic_s()
        in_force = [
            known
            for known in self._inputs.values()
            if not known.is_released and known.until_s > now_s
        ]
        others = self.owners.others() if in_force else []
        if not others:
            return
        node_id = self.env.random.choice(others)
        count = min(REPEATED_NOTICES, len(in_force))
        for known in self.env.random.sample(in_force, count):
            self.tell(node_id, known.service, known.input_id)

    def _load_records(self) -> None:
        for key, value in self.records.shared_records.items():
            if not key.startswith(RECORD_PREFIX):
                continue
            if self._applied_records.get(key) == value:
                continue
            self._applied_records[key] = value
            service, _, input_id = key.removeprefix(RECORD_PREFIX).rpartition("/")
            if _key(service, input_id) not in self._inputs:
                self._load_record(service, input_id, key, value)

    def _load_record(self, service: str, input_id: str, key: str, value: bytes) -> None:
        try:
            level = decode_untrusted(value, _RecordWire).level
        except msgspec.DecodeError as error:
            log_event(
                self.env.logger,
                "quarantine_record_ignored",
                key=key,
                reason=str(error),
            )
            level = 0
        now_s = self.env.clock.monotonic_s()
        duration_s = quarantine_duration_s(level)
        self._add(service, input_id, level, duration_s, now_s, "record")

    def _release_ended(self) -> None:
        now_s = self.env.clock.monotonic_s()
        for key, known in list(self._inputs.items()):
            if now_s < known.until_s:
                continue
            if now_s >= known.until_s + PROBATION_S:
                del self._inputs[key]
            elif not known.is_released:
                self._release(known)
                self._log("input_released", known)

    def _release(self, known: QuarantinedInput) -> None:
        known.is_released = True
        is_owner = self.owners.is_owner(engine_duty(known.service))
        known.pending_record = known.pending_record or is_owner

    async def _check_records(self) -> None:
        """Have the records checked after the store has gone back to a copy."""
        for known in self._inputs.values():
            known.pending_record = True

    async def _update_records(self) -> None:
        now_s = self.env.clock.monotonic_s()
        for known in [*self._inputs.values()]:
            if known.must_update_record(now_s):
                await self._update_record(known)
        for _ in range(len(self._dropped)):
            dropped = self._dropped.popleft()
            if (dropped.service, dropped.input_id) not in self._inputs:
                await self._update_record(dropped)
                if dropped.must_update_record(now_s):
                    self._dropped.append(dropped)

    async def _update_record(self, known: QuarantinedInput) -> None:
        """Write the record of a quarantine, or remove it once that has ended.

        After a failure the next period tries again.
        """
        key = f"{RECORD_PREFIX}{known.service}/{known.input_id}"
        if len(key.encode()) > MAX_RECORD_KEY_BYTES:
            known.pending_record = False
            return
        is_released = known.is_released
        try:
            await self.records.update_shared_record(
                key, lambda stored: _merged_record(stored, known.level, is_released)
            )
        except (PlatformUnavailable, TableOutcomeUnknown, TableConflict) as error:
            if isinstance(error, TableOutcomeUnknown):
                now_s = self.env.clock.monotonic_s()
                known.recheck_until_s = now_s + LATE_WRITE_LIMIT_S
            known.pending_record = True
            log_event(
                self.env.logger,
                "quarantine_record_not_written",
                key=key,
                reason=str(error),
            )
            return
        # It may have been released while the record was written.
        known.pending_record = known.is_released != is_released

    def _log(self, event: str, known: QuarantinedInput, **fields) -> None:
        log_event(
            self.env.logger,
            event,
            service=known.service,
            kind=kind_of(known.input_id),
            input_id=known.input_id,
            earlier_quarantines=known.level,
            **fields,
        )


def _merged_record(stored: bytes | None, level: int, is_released: bool) -> bytes | None:
    """Return the record of a quarantine; a later one that is stored stays."""
    try:
        stored_level = (
            -1 if stored is None else decode_untrusted(stored, _RecordWire).level
        )
    except msgspec.DecodeError:
        stored_level = -1
    if stored_level > level or (stored_level == level and not is_released):
        return stored
    return None if is_released else msgspec.json.encode(_RecordWire(level))


def _key(service: str, input_id: str) -> tuple[str, str]:
    """Return the key of an input; a whole request may be routed to several services."""
    return (service if kind_of(input_id) == "prompt_part" else "", input_id)


def _refusal(notice: InputQuarantine) -> InputQuarantined:
    return InputQuarantined(
        "the request crashes the servers that run it",
        input_id=notice.input_id,
        retry_after_s=notice.duration_ms / 1000,
    )


def quarantine_duration_s(level: int) -> float:
    """Return the duration of an input's quarantine after `level` earlier ones."""
    return min(MAX_DURATION_S, BASE_DURATION_S * 2 ** min(level, 10))
