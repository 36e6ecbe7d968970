"""Identifies the inputs of a request that may crash the servers that run it.

A caller that sends a request again does so under another request id, at any node. What
stays the same identifies the input: an `input_id` is `KIND:DIGEST` for a whole request,
and the id of the part for a part of a prompt. The digest covers the caller, so that
nobody can choose a body that has the input id of another caller's request.

Kinds are registered outermost first: an input of a later kind is in fewer requests.
"""

import hashlib
from collections.abc import Callable

from egretshed.relay.request import CallerRequest

DIGEST_BYTES = 16

Identify = Callable[[CallerRequest, str], tuple[str, ...]]

INPUT_KINDS: dict[str, Identify] = {}


def input_kind(name: str) -> Callable[[Identify], Identify]:
    """Register a function that returns the input ids of one kind in a request.

    It gets the request and the name of its customer, which is empty without one.
    """

    def register(identify: Identify) -> Identify:
        INPUT_KINDS[name] = identify
        return identify

    return register


@input_kind("request")
def _request(request: CallerRequest, customer: str) -> tuple[str, ...]:
    return (f"request:{_digest(*_request_fields(request, customer))}",)


@input_kind("prompt_part")
def _prompt_parts(request: CallerRequest, customer: str) -> tuple[str, ...]:
    if request.prompt is None:
        return ()
    return tuple(part.part_id for part in request.prompt.shared_parts())


@input_kind("prompt")
def _prompt(request: CallerRequest, customer: str) -> tuple[str, ...]:
    if request.prompt is None:
        return ()
    parts = [part.part_id.encode() for part in request.prompt.parts]
    return (f"prompt:{_digest(*_request_fields(request, customer), *parts)}",)


def identify_inputs(request: CallerRequest, customer: str) -> tuple[str, ...]:
    """Return the ids of all inputs of a request, outermost first.

    Example::

        identify_inputs(request, "cust")
        # ("request:5c1e...", "91bd3f06", "prompt:07a2...")
    """
    return tuple(
        input_id
        for identify in INPUT_KINDS.values()
        for input_id in identify(request, customer)
    )


def kind_of(input_id: str) -> str:
    """Return the kind of an input: `request`, `prompt_part` or `prompt`."""
    kind, separator, _ = input_id.partition(":")
    return kind if separator else "prompt_part"


def whole_inputs(input_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return the input ids without those of parts, which only engines read."""
    return tuple(i for i in input_ids if kind_of(i) != "prompt_part")


def _request_fields(request: CallerRequest, customer: str) -> tuple[bytes, ...]:
    """Return what is the same whenever a caller sends a request again."""
    texts = (customer, request.method, request.host, request.target)
    return (*(text.encode("utf-8", "surrogateescape") for text in texts), request.body)


def _digest(*fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()
