"""Deliberate faults of the system: each patches a method or a condition."""

import asyncio
from contextlib import ExitStack
from typing import Any
from unittest import mock

from egretshed.backends.interface import TokenEvent
from egretshed.backends.openai_completions import OpenAiCompletionsBackend
from egretshed.callers.events import StreamProxy
from egretshed.claims.service import ClaimService
from egretshed.claims.tracked_claims import (
    TrackedClaim,
    TrackedClaimState,
)
from egretshed.configuration.schema import Configuration
from egretshed.errors import BackendError
from egretshed.platform.interface import ABSENT_VERSION
from egretshed.requests.attempts import Attempts
from egretshed.requests.runner import RequestRunner
from egretshed.requests.stream import RequestStream
from egretshed.retries import decision
from egretshed.routing.router import Router
from egretshed.slots.owned_replica import OwnedReplicaState
from egretshed.slots.warmth import Warmth

LATE_TOKEN_DELAY_S = 0.02
real_call = OpenAiCompletionsBackend.call
real_batches = StreamProxy.batches
real_drain = RequestRunner.drain
real_record_load_report = OwnedReplicaState.record_load_report


async def call_with_late_tokens(self, call, on_tokens):
    """Deliver one more token after the attempt has failed, as a slow network may."""
    try:
        return await real_call(self, call, on_tokens)
    except BackendError:
        event = TokenEvent(0, ("late ",))
        asyncio.get_running_loop().call_later(LATE_TOKEN_DELAY_S, on_tokens, event)
        raise


def accept_tokens(self, run, attempt_id, event) -> None:
    if not run.stream.finished:
        run.stream.append_tokens(event.tokens)


async def claim_unchecked(self, customer_id, request_id):
    claim = self._new_claim(customer_id, request_id)
    self._tracked[claim.key] = TrackedClaim(
        claim, TrackedClaimState.RUNNING, ABSENT_VERSION
    )
    return claim


def batches_from_previous_sequence(self, customer_id, stream_id, after):
    return real_batches(self, customer_id, stream_id, max(0, after - 1))


async def drain_without_waiting(self, limit_s) -> int:
    return await real_drain(self, 0.0)


def record_load_report_without_leaving(self, report, now_s) -> None:
    real_record_load_report(self, report._replace(leaving=False), now_s)


LATE_TOKENS_FAULT = ((OpenAiCompletionsBackend, "call", call_with_late_tokens),)
FAULTS: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "none": (),
    "late tokens": LATE_TOKENS_FAULT,
    "late tokens accepted": (
        *LATE_TOKENS_FAULT,
        (Attempts, "_on_tokens", accept_tokens),
    ),
    "attempt ids repeat": ((Attempts, "_next_attempt_id", lambda self: "attempt"),),
    "cold limit ignored": ((Warmth, "limit", lambda self, pool: pool.warm_slots),),
    "domain state ignored": (
        (Configuration, "is_in_service", lambda self, replica: True),
        (Router, "_exclusion_reason", lambda self, call, replica: ""),
    ),
    "resume off by one": ((StreamProxy, "batches", batches_from_previous_sequence),),
    "sent calls not noted": ((RequestStream, "may_have_run", False),),
    "claims not checked": ((ClaimService, "claim", claim_unchecked),),
    "effects not considered": ((decision, "may_have_run", lambda error: False),),
    "leaving ignored": (
        (OwnedReplicaState, "record_load_report", record_load_report_without_leaving),
    ),
    "stop without waiting": ((RequestRunner, "drain", drain_without_waiting),),
}


def inject_fault(name: str) -> ExitStack:
    """Return a context in which the named fault is active."""
    stack = ExitStack()
    for owner, attribute, replacement in FAULTS[name]:
        stack.enter_context(mock.patch.object(owner, attribute, replacement))
    return stack
