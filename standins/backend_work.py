"""What stand-in backend servers compute; every output is determined by its input."""

import random
from collections.abc import Callable
from typing import Any

from egretshed.registry import Registry

CHARACTERS_PER_TOKEN = 4
SHARED_PROMPT_SHARE = 0.75
VECTOR_LENGTH = 8
DOCUMENTS = 6
RERANKED_DOCUMENTS = 3
DOCUMENT_WORDS = 40

# Returns the output for (request_id, customer_id, payload).
Work = Callable[[str, str, dict[str, Any]], dict[str, Any]]

WORK: Registry[Work] = Registry("backend role")


def token(request_id: str, index: int) -> str:
    """Return the text of one token, which names its request and position."""
    return f"{request_id}:{index} "


def prompt_tokens(body: dict[str, Any]) -> int:
    """Return the length of the prompt, at least 1."""
    prompt = body.get("prompt") or ""
    text = prompt if isinstance(prompt, str) else str(prompt)
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def shared_tokens(body: dict[str, Any]) -> int:
    """Return how much of the prompt its `cache_prefix` stands for."""
    return int(prompt_tokens(body) * SHARED_PROMPT_SHARE)


@WORK.register("encoder")
def encode(request_id: str, customer_id: str, payload: dict) -> dict[str, Any]:
    source = random.Random(request_id)
    return {"vector": [round(source.random(), 4) for _ in range(VECTOR_LENGTH)]}


@WORK.register("retriever")
def retrieve(request_id: str, customer_id: str, payload: dict) -> dict[str, Any]:
    """Return documents of the customer, so that its prompts share a prefix."""
    return {
        "documents": [
            f"{customer_id} document {index}: " + "clause " * DOCUMENT_WORDS
            for index in range(DOCUMENTS)
        ]
    }


@WORK.register("reranker")
def rerank(request_id: str, customer_id: str, payload: dict) -> dict[str, Any]:
    documents = payload.get("documents")
    if documents is None:
        documents = retrieve(request_id, customer_id, payload)["documents"]
    return {"documents": sorted(documents)[:RERANKED_DOCUMENTS]}


@WORK.register("service")
def serve(request_id: str, customer_id: str, payload: dict) -> dict[str, Any]:
    return {"result": f"done {request_id}", "request_id": request_id}
