"""Platform adapter for table, object and weight stores with JSON over HTTP.

A transaction whose response is lost raises `TableOutcomeUnknown`. Status 429 or 503
means that nothing was written.
"""

from typing import Any

import msgspec
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from egretshed.environment import Environment
from egretshed.errors import (
    EgretshedError,
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
    TableUnavailable,
)
from egretshed.platform.adapters import PLATFORM_ADAPTERS
from egretshed.platform.interface import (
    Condition,
    ListedVm,
    Platform,
    Row,
    WeightVersion,
    Write,
)

CONFLICT = 409
REFUSED_STATUSES = frozenset({429, 503})
NOT_FOUND = 404


class _HttpPlatform:
    """HTTP client of one platform URL, shared by the services below."""

    def __init__(self, env: Environment):
        self.env = env
        self.url = env.settings.platform.url.rstrip("/")
        self.client = AsyncHTTPClient(force_instance=True)

    async def call(
        self, method: str, path: str, body: bytes | None, key_prefix: str = ""
    ) -> HTTPResponse:
        """Return the response; `key_prefix` extends the metric label of table calls."""
        settings = self.env.settings.platform
        timeout_s = settings.call_timeout_s
        request = HTTPRequest(
            self.url + path,
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {settings.key}"},
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        service, _, rest = path[1:].partition("/")
        operation = f"{rest} {key_prefix}" if service == "table" else service
        self.env.metrics.counter(
            "platform_calls_total", "Calls to the platform", ("operation",)
        ).labels(operation).inc()
        return await self.client.fetch(request, raise_error=False)

    async def json(
        self, path: str, body: Any, error: type[EgretshedError], key_prefix: str = ""
    ) -> Any:
        """Return the decoded response; raise `error` on any failure."""
        try:
            response = await self.call(
                "POST", path, msgspec.json.encode(body), key_prefix
            )
        except (HTTPClientError, OSError, ValueError) as cause:
            raise error(f"platform call {path} failed: {cause}") from cause
        if response.code != 200:
            raise error(f"platform call {path} returned status {response.code}")
        return msgspec.json.decode(response.body)


def _key_prefix(keys: list[str]) -> str:
    """Return the first path segment of the first key, such as ``claims``."""
    return keys[0].partition("/")[0] if keys else ""


class HttpTable:
    def __init__(self, http: _HttpPlatform):
        self.http = http

    async def read(self, keys: list[str]) -> dict[str, Row]:
        body = {"keys": keys}
        key_prefix = _key_prefix(keys)
        rows = await self.http.json("/table/read", body, TableUnavailable, key_prefix)
        return {row["key"]: Row(**row) for row in rows}

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        body = {"prefix": prefix, "after": after, "limit": limit}
        key_prefix = _key_prefix([prefix])
        rows = await self.http.json("/table/scan", body, TableUnavailable, key_prefix)
        return [Row(**row) for row in rows]

    async def transact(self, conditions: list[Condition], writes: list[Write]) -> None:
        body = {
            "conditions": [c._asdict() for c in conditions],
            "writes": [w._asdict() for w in writes],
        }
        try:
            response = await self.http.call(
                "POST",
                "/table/transact",
                msgspec.json.encode(body),
                _key_prefix([write.key for write in writes]),
            )
        except ConnectionRefusedError as cause:
            raise TableUnavailable("table service refused the connection") from cause
        except (HTTPClientError, OSError) as cause:
            raise TableOutcomeUnknown(
                f"no response from the table service: {cause}"
            ) from cause
        if response.code == CONFLICT:
            keys = msgspec.json.decode(response.body)["keys"]
            raise TableConflict("condition did not hold", keys=keys)
        if response.code in REFUSED_STATUSES:
            raise TableUnavailable(f"table service returned status {response.code}")
        if response.code != 200:
            raise TableOutcomeUnknown(f"table service returned status {response.code}")


class HttpObjects:
    def __init__(self, http: _HttpPlatform):
        self.http = http

    async def put(self, key: str, body: bytes) -> None:
        response = await self._call("PUT", key, body)
        if response.code != 200:
            raise PlatformUnavailable(f"object store returned status {response.code}")

    async def get(self, key: str) -> bytes | None:
        response = await self._call("GET", key, None)
        if response.code == NOT_FOUND:
            return None
        if response.code != 200:
            raise PlatformUnavailable(f"object store returned status {response.code}")
        return response.body

    async def _call(self, method: str, key: str, body: bytes | None) -> HTTPResponse:
        try:
            return await self.http.call(method, f"/objects/{key}", body)
        except (HTTPClientError, OSError) as cause:
            raise PlatformUnavailable(f"object store call failed: {cause}") from cause


class HttpWeights:
    def __init__(self, http: _HttpPlatform):
        self.http = http

    async def versions(self, model: str) -> list[WeightVersion]:
        response = await self.http.json(
            "/weights/versions", {"model": model}, PlatformUnavailable
        )
        return [WeightVersion(**version) for version in response]

    async def rate_bytes_per_s(self) -> float:
        response = await self.http.json("/weights/rate", {}, PlatformUnavailable)
        return float(response["rate_bytes_per_s"])


class HttpVmList:
    def __init__(self, http: _HttpPlatform):
        self.http = http

    async def read(self) -> list[ListedVm]:
        response = await self.http.json("/vms", {}, PlatformUnavailable)
        return [ListedVm(**vm) for vm in response]


@PLATFORM_ADAPTERS.register("http_json")
def connect(env: Environment) -> Platform:
    """Return the platform at `settings.platform.url`."""
    http = _HttpPlatform(env)
    return Platform(
        table=HttpTable(http),
        objects=HttpObjects(http),
        weights=HttpWeights(http),
        vms=HttpVmList(http),
    )
