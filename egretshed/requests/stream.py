"""The buffered answer of one request, which several readers read from any point.

Items are numbered from 1. Each token is one item, so that tokens may be coalesced into
events differently for each reader without changing the meaning of sequence numbers.
"""

import asyncio
from typing import (
    Any,
    NamedTuple,
)

from egretshed.environment import Environment
from egretshed.errors import StreamGap
from egretshed.invariants import require

ITEM_OVERHEAD_BYTES = 64


class StreamItem(NamedTuple):
    """`event` is ``token``, ``reset`` or ``final``; `data` a token or a JSON object."""

    event: str
    data: Any


class StreamBatch(NamedTuple):
    """Consecutive items as one event; `sequence` is the number of the last item."""

    sequence: int
    event: str  # tokens | reset | final
    data: dict[str, Any]


class RequestStream:
    """Answer of one request, written by one task and read by any number of tasks.

    `outcome` is None until the final item is written. `sent_to_backend` says whether
    this submission was sent to a backend server, `earlier_may_have_run` whether an
    earlier submission of the request id may have been.
    """

    def __init__(
        self, env: Environment, stream_id: str, customer_id: str, request_id: str
    ):
        self.env = env
        self.stream_id = stream_id
        self.customer_id = customer_id
        self.request_id = request_id
        self.items: list[StreamItem] = []
        self.outcome: dict[str, Any] | None = None
        self.started_s = env.clock.monotonic_s()
        self.first_token_s: float | None = None
        self.finished_s: float | None = None
        self.sent_to_backend = False
        self.earlier_may_have_run = False
        self.bytes_used = 0
        self._discarded = 0
        self._changed = asyncio.Event()

    @property
    def finished(self) -> bool:
        return self.outcome is not None

    @property
    def may_run_again(self) -> bool:
        """Whether resubmitting the request id starts a new run and does not join it."""
        return self.finished and "retry_after_s" in self.outcome

    @property
    def sequence(self) -> int:
        return self._discarded + len(self.items)

    @property
    def may_have_run(self) -> bool:
        """Whether this or an earlier submission may have reached a backend server."""
        return self.sent_to_backend or self.earlier_may_have_run

    @property
    def has_tokens(self) -> bool:
        return self.first_token_s is not None

    def append_tokens(self, tokens: tuple[str, ...]) -> None:
        if self.first_token_s is None:
            self.first_token_s = self.env.clock.monotonic_s() - self.started_s
        for token in tokens:
            self.items.append(StreamItem("token", token))
            self.bytes_used += ITEM_OVERHEAD_BYTES + len(token)
        self._changed.set()

    def reset(self) -> None:
        """Write an item that tells readers to discard the tokens received so far."""
        self._append(StreamItem("reset", {}))

    def finish(self, outcome: dict[str, Any]) -> None:
        """Write the final item, exactly once."""
        require(
            self.env,
            self.outcome is None,
            "P1_one_outcome",
            request_id=self.request_id,
        )
        self.outcome = outcome
        self.finished_s = self.env.clock.monotonic_s()
        self._append(StreamItem("final", outcome))

    def batches_after(self, sequence: int) -> list[StreamBatch]:
        """Return the items after `sequence`, with consecutive tokens as one batch.

        Raises `StreamGap` if some of them are no longer buffered.
        """
        if sequence < self._discarded:
            raise StreamGap(
                "the requested events are no longer buffered",
                oldest_sequence=self._discarded + 1,
            )
        batches: list[StreamBatch] = []
        tokens: list[str] = []
        for number, item in enumerate(
            self.items[sequence - self._discarded :], start=sequence + 1
        ):
            if item.event == "token":
                tokens.append(item.data)
                continue
            if tokens:
                batches.append(StreamBatch(number - 1, "tokens", {"tokens": tokens}))
                tokens = []
            batches.append(StreamBatch(number, item.event, item.data))
        if tokens:
            batches.append(StreamBatch(self.sequence, "tokens", {"tokens": tokens}))
        return batches

    async def wait_for_item_after(self, sequence: int) -> None:
        """Return once there is an item after `sequence`."""
        while self.sequence <= sequence:
            # Safe with several readers: `set` has already woken all that were waiting.
            self._changed.clear()
            await self._changed.wait()

    def text(self) -> str:
        """Return all tokens since the last reset."""
        tokens: list[str] = []
        for item in self.items:
            if item.event == "token":
                tokens.append(item.data)
            elif item.event == "reset":
                tokens.clear()
        return "".join(tokens)

    def discard_items(self) -> None:
        """Free the buffered items and keep the outcome."""
        self._discarded += len(self.items)
        self.items = []
        self.bytes_used = 0

    def _append(self, item: StreamItem) -> None:
        self.items.append(item)
        self.bytes_used += ITEM_OVERHEAD_BYTES + len(str(item.data))
        self._changed.set()
