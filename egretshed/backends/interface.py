"""Interface of one replica of a backend server, independent of its wire protocol."""

from collections.abc import Callable
from typing import (
    Any,
    NamedTuple,
    Protocol,
)


class BackendCall(NamedTuple):
    """One attempt of one stage.

    `attempt_id` is unique among all attempts of all requests; `payload` is the JSON
    input of the stage; `remaining_s` is the time that the stage may take;
    `progress_limit_s` is the longest time that may pass without new tokens, or without
    the response of a call that makes none.
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
    """Result of a completed call; times are in seconds from the start of the call."""

    attempt_id: str
    output: dict[str, Any]
    first_token_s: float
    total_s: float
    generated_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class LoadReport(NamedTuple):
    """Load and state of a backend server as it reported them `age_s` seconds ago."""

    in_flight: int
    queued: int
    warm: bool
    leaving: bool
    age_s: float
    model_versions: dict[str, str] = {}
    state_revision: int = 0

    def call_count(self) -> int:
        """Return the number of calls that are running or queued on the server."""
        return self.in_flight + self.queued


class BackendOrder(NamedTuple):
    """An operator's order to a backend server; idempotent.

    `expected_revision` is the state revision that the order was made for: a server
    with another revision does not apply the order and reports so in its result.
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
    """A prefix was added to the server's cache (`present`) or removed from it.

    `number` is consecutive, so that a gap shows lost events.
    """

    number: int
    prefix: str
    present: bool


OnTokens = Callable[[TokenEvent], None]


class Backend(Protocol):
    """Client of one replica.

    Raises `BackendUnreachable` (with `may_have_run` False if no connection was made),
    `BackendRejected` (the call was not started), `BackendSilent` (no data within the
    time limit) or `BackendError` (any other failure).
    """

    async def call(self, call: BackendCall, on_tokens: OnTokens) -> BackendResult: ...

    async def cancel(self, attempt_id: str) -> bool:
        """Cancel a call; return whether it was still running."""

    async def load(self) -> LoadReport: ...

    async def order(self, order: BackendOrder) -> OrderResult: ...

    async def cache_events(self, after: int) -> list[CacheEvent]: ...

    async def export_cache(self, prefix: str) -> bytes | None: ...

    async def import_cache(self, prefix: str, body: bytes) -> bool: ...
