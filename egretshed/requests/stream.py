"""The buffered answer of one request, readable by several callers from any point.

Items are numbered from 1; each token is one item, so that events may be coalesced
differently for each reader without changing what a sequence number means.
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
    """`event` is ``token``, ``reset`` or ``final``; `data` a token or an object."""

    event: str
    data: Any


class StreamBatch(NamedTuple):
    """Consecutive items as one event; `sequence` is that of the last item."""

    sequence: int
    event: str  # tokens | reset | final
    data: dict[str, Any]


class RequestStream:
    """Written by the one task that runs the request; read by any number of tasks.

    `outcome` is None until the final item is written.
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
        self._dropped = 0
        self._changed = asyncio.Event()

    @property
    def finished(self) -> bool:
        return self.outcome is not None

    @property
    def may_run_again(self) -> bool:
        """Whether submitting the id again starts it anew instead of joining it."""
        return self.finished and "retry_after_s" in self.outcome

    @property
    def sequence(self) -> int:
        return self._dropped + len(self.items)

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
        """Tell readers to discard the tokens that they have of this request."""
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
        """Return what follows `sequence`, runs of tokens as one batch each.

        Raises `StreamGap` if part of it is no longer buffered.
        """
        if sequence < self._dropped:
            raise StreamGap(
                "the events asked for are no longer buffered",
                oldest_sequence=self._dropped + 1,
            )
        batches: list[StreamBatch] = []
        tokens: list[str] = []
        for number, item in enumerate(
            self.items[sequence - self._dropped :], start=sequence + 1
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
            # Other readers that wait have been woken by the call that set it.
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

    def drop_items(self) -> None:
        """Free the buffer; the outcome stays."""
        self._dropped += len(self.items)
        self.items = []
        self.bytes_used = 0

    def _append(self, item: StreamItem) -> None:
        self.items.append(item)
        self.bytes_used += ITEM_OVERHEAD_BYTES + len(str(item.data))
        self._changed.set()
