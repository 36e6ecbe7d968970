"""Typed interface of one replica of a backend server, whatever its wire protocol."""

from collections.abc import Callable
from typing import (
    Any,
    NamedTuple,
    Protocol,
)


class BackendCall(NamedTuple):
    """One attempt of one stage.

    `attempt_id` is unique over all attempts of all requests; `remaining_s` is what the
    stage may take; `payload` is the stage's JSON input.
    """

    attempt_id: str
    request_id: str
    customer_id: str
    stage: str
    payload: dict[str, Any]
    priority: int
    remaining_s: float
    progress_limit_s: float
    model: str = ""


class TokenEvent(NamedTuple):
    """Tokens that arrived together; `index` is the position of the first one."""

    index: int
    tokens: tuple[str, ...]


class BackendResult(NamedTuple):
    """Complete result of a call; times in seconds from the call's start."""

    attempt_id: str
    output: dict[str, Any]
    first_token_s: float
    total_s: float
    generated_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class LoadReport(NamedTuple):
    """What a server reports of itself, `age_s` ago."""

    in_flight: int
    queued: int
    warm: bool
    leaving: bool
    age_s: float
    model_versions: dict[str, str] = {}
    state_revision: int = 0

    def call_count(self) -> int:
        """Return the calls that the server has, running or queued."""
        return self.in_flight + self.queued


class BackendOrder(NamedTuple):
    """An operator's order; repeating it has no further effect.

    `expected_revision` is the server state that the order was made for; a server whose
    revision differs ignores the order and says so.
    """

    order_id: str
    action: str  # load_model | load_adapter | unload | change_role | drain | undrain
    arguments: dict[str, Any]
    fencing_number: int
    expected_revision: int | None = None


class OrderResult(NamedTuple):
    applied: bool
    state_revision: int
    detail: str = ""


class CacheEvent(NamedTuple):
    """A prefix entered or left the server's cache; a gap shows in `number`."""

    number: int
    prefix: str
    present: bool


OnTokens = Callable[[TokenEvent], None]


class Backend(Protocol):
    """Client of one replica.

    Failures: `BackendUnreachable` (field `may_have_run` False if the connection was
    refused), `BackendRejected` (not started), `BackendSilent` (no progress within
    `progress_limit_s`), `BackendError`.
    """

    async def call(self, call: BackendCall, on_tokens: OnTokens) -> BackendResult: ...

    async def cancel(self, attempt_id: str) -> bool:
        """Ask to end a call; return whether it was still running."""

    async def load(self) -> LoadReport: ...

    async def order(self, order: BackendOrder) -> OrderResult: ...

    async def cache_events(self, after: int) -> list[CacheEvent]: ...

    async def export_cache(self, prefix: str) -> bytes | None: ...

    async def import_cache(self, prefix: str, body: bytes) -> bool: ...
