"""Simulated platform over HTTP, with the protocol of `egretshed.platform.http_json`.

Faults are set through `POST /control`, by operation (`read`, `scan`, `transact`,
`objects`, `weights`, `vms`) or for `all` operations without an entry of their own::

    {"faults": {"transact": {"drop_replies": 1}, "all": {"slow_s": 0.2}}}

A body replaces the faults of the operations that it names;
`{"faults": {"transact": {}}}` clears those of `transact`. `ControlHandler` lists the
other fields of the body. `GET /record` returns the numbers of calls, reads and writes,
and `GET /dump` the table's values by key.
"""

import random
from typing import NamedTuple

from egretshed.clock import (
    Clock,
    SystemClock,
)
from egretshed.platform.interface import (
    Condition,
    ListedVm,
    WeightVersion,
    Write,
)
from egretshed.records import to_object
from standins.http_server import (
    JsonHandler,
    LoopbackServer,
)
from standins.platform_core import PlatformCore

CONFLICT = 409
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
OPERATIONS = ("read", "scan", "transact", "objects", "weights", "vms")


class PlatformFault(NamedTuple):
    """Faults of an operation.

    `down` returns status 503, `silent` never responds, and neither takes effect.
    `slow_s` delays the operation. `drop_replies` is the number of next replies to drop
    after the operation took effect; `drop_share` is the probability of dropping each
    reply after those.
    """

    down: bool = False
    silent: bool = False
    slow_s: float = 0.0
    drop_replies: int = 0
    drop_share: float = 0.0


class PlatformServer:
    """HTTP server of all platform services on one loopback port."""

    def __init__(self, clock: Clock | None = None, seed: int = 1, port: int = 0):
        self.clock = clock or SystemClock()
        self.core = PlatformCore(self.clock)
        self.random = random.Random(seed)
        self.faults: dict[str, PlatformFault] = {}
        self.calls = dict.fromkeys(OPERATIONS, 0)
        options = {"server": self}
        routes = [
            (r"/table/read", ReadHandler, options),
            (r"/table/scan", ScanHandler, options),
            (r"/table/transact", TransactHandler, options),
            (r"/objects/(.+)", ObjectHandler, options),
            (r"/weights/versions", WeightVersionsHandler, options),
            (r"/weights/rate", WeightRateHandler, options),
            (r"/vms", VmsHandler, options),
            (r"/control", ControlHandler, options),
            (r"/record", RecordHandler, options),
            (r"/dump", DumpHandler, options),
        ]
        self._http = LoopbackServer(routes, port)

    @property
    def url(self) -> str:
        return self._http.url

    async def start(self) -> None:
        await self._http.start()

    async def stop(self) -> None:
        await self._http.stop()

    def set_faults(self, faults: dict[str, dict]) -> None:
        """Replace the faults of each named operation.

        Those of `all` apply to operations without an entry of their own. Raises
        `ValueError` for an unknown operation.
        """
        for operation, fields in faults.items():
            if operation not in (*OPERATIONS, "all"):
                raise ValueError(f"unknown platform operation {operation!r}")
            self.faults[operation] = PlatformFault(**fields)

    def current_fault(self, operation: str) -> tuple[str, PlatformFault]:
        """Return the fault in effect and the key in `faults` that it is set under."""
        name = operation if operation in self.faults else "all"
        return name, self.faults.get(name, PlatformFault())

    def take_reply_drop(self, operation: str) -> bool:
        """Return whether to drop this reply; decrements `drop_replies` if it is set."""
        name, fault = self.current_fault(operation)
        if fault.drop_replies > 0:
            self.faults[name] = fault._replace(drop_replies=fault.drop_replies - 1)
            return True
        return self.random.random() < fault.drop_share


class OperationHandler(JsonHandler):
    """Runs `operate`, subject to the faults of `operation`."""

    operation = ""

    def initialize(self, server: PlatformServer) -> None:
        self.server = server
        self.core = server.core

    async def post(self, *arguments: str) -> None:
        server = self.server
        server.calls[self.operation] += 1
        _, fault = server.current_fault(self.operation)
        if fault.silent:
            await self.wait_for_close()
            return
        if fault.slow_s > 0:
            await server.clock.sleep(fault.slow_s)
        if fault.down:
            self.send_json({"error": "unavailable"}, UNAVAILABLE)
            return
        status, value = self.operate(*arguments)
        if server.take_reply_drop(self.operation):
            self.close_without_reply()
            return
        self.send_reply(status, value)

    def operate(self, *arguments: str) -> tuple[int, object]:
        raise NotImplementedError

    def send_reply(self, status: int, value: object) -> None:
        self.send_json(value, status)


class ReadHandler(OperationHandler):
    operation = "read"

    def operate(self) -> tuple[int, object]:
        return 200, to_object(self.core.table.read(self.body()["keys"]))


class ScanHandler(OperationHandler):
    operation = "scan"

    def operate(self) -> tuple[int, object]:
        body = self.body()
        rows = self.core.table.scan(
            body["prefix"], body.get("after", ""), body.get("limit", 1000)
        )
        return 200, to_object(rows)


class TransactHandler(OperationHandler):
    operation = "transact"

    def operate(self) -> tuple[int, object]:
        body = self.body()
        conditions = [Condition(**fields) for fields in body["conditions"]]
        writes = [Write(**fields) for fields in body["writes"]]
        if not self.core.write_limit.allow(len(writes)):
            return TOO_MANY_REQUESTS, {"error": "write rate limit"}
        conflicts = self.core.table.transact(conditions, writes)
        if conflicts:
            return CONFLICT, {"keys": conflicts}
        return 200, {}


class ObjectHandler(OperationHandler):
    operation = "objects"

    async def put(self, key: str) -> None:
        await self.post(key)

    async def get(self, key: str) -> None:
        await self.post(key)

    def operate(self, key: str) -> tuple[int, object]:
        if self.request.method == "PUT":
            self.core.objects[key] = self.request.body
            return 200, b""
        body = self.core.objects.get(key)
        return (NOT_FOUND, b"") if body is None else (200, body)

    def send_reply(self, status: int, value: object) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(value)


class WeightVersionsHandler(OperationHandler):
    operation = "weights"

    def operate(self) -> tuple[int, object]:
        model = self.body()["model"]
        return 200, to_object([w for w in self.core.weights if w.model == model])


class WeightRateHandler(OperationHandler):
    operation = "weights"

    def operate(self) -> tuple[int, object]:
        return 200, {"rate_bytes_per_s": self.core.weight_rate_bytes_per_s}


class VmsHandler(OperationHandler):
    operation = "vms"

    def operate(self) -> tuple[int, object]:
        return 200, to_object(self.core.vm_registry.published())


class ControlHandler(JsonHandler):
    """Changes the platform's contents and faults.

    The fields of the body are all optional: `faults`; `vms` (list of `ListedVm`
    objects); `vm_list_lag_s`; `writes_per_s` (null for no limit); `weights` (list of
    `WeightVersion` objects); `weight_rate_bytes_per_s`.
    """

    def initialize(self, server: PlatformServer) -> None:
        self.server = server

    def post(self) -> None:
        body = self.body()
        core = self.server.core
        self.server.set_faults(body.get("faults", {}))
        if "vm_list_lag_s" in body:
            core.vm_registry.lag_s = body["vm_list_lag_s"]
        if "vms" in body:
            core.vm_registry.vms = [ListedVm(**vm) for vm in body["vms"]]
        if "writes_per_s" in body:
            core.write_limit.set(body["writes_per_s"])
        if "weights" in body:
            core.weights = [WeightVersion(**fields) for fields in body["weights"]]
        if "weight_rate_bytes_per_s" in body:
            core.weight_rate_bytes_per_s = body["weight_rate_bytes_per_s"]
        self.send_json({})


class RecordHandler(JsonHandler):
    def initialize(self, server: PlatformServer) -> None:
        self.server = server

    def get(self) -> None:
        counts = self.server.core.table.counts
        self.send_json({"calls": self.server.calls, "table": counts})


class DumpHandler(JsonHandler):
    def initialize(self, server: PlatformServer) -> None:
        self.server = server

    def get(self) -> None:
        self.send_json(self.server.core.table.dump())
