"""Outputs of simulated backend servers, each determined by its input."""

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

# Takes (request_id, customer_id, payload) and returns the output.
OutputFunction = Callable[[str, str, dict[str, Any]], dict[str, Any]]

OUTPUT_FUNCTIONS: Registry[OutputFunction] = Registry("backend role")


def token_text(request_id: str, index: int) -> str:
    """Return the text of one token: its request ID and its position."""
    return f"{request_id}:{index} "


def count_prompt_tokens(body: dict[str, Any]) -> int:
    """Return the length of the prompt in tokens, at least 1."""
    prompt = body.get("prompt") or ""
    text = prompt if isinstance(prompt, str) else str(prompt)
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def count_shared_tokens(body: dict[str, Any]) -> int:
    """Return how many of the prompt's tokens its `cache_prefix` covers."""
    return int(count_prompt_tokens(body) * SHARED_PROMPT_SHARE)


@OUTPUT_FUNCTIONS.register("encoder")
def encode(request_id: str, customer_id: str, payload: dict) -> dict[str, Any]:
    rng = random.Random(request_id)
    return {"vector": [round(rng.random(), 4) for _ in range(VECTOR_LENGTH)]}


@OUTPUT_FUNCTIONS.register("retriever")
def retrieve(request_id: str, customer_id: str, payload: dict) -> dict[str, Any]:
    """Return the same documents for all of a customer's requests.

    The prompts built from them share a prefix.
    """
    return {
        "documents": [
            f"{customer_id} document {index}: " + "clause " * DOCUMENT_WORDS
            for index in range(DOCUMENTS)
        ]
    }


@OUTPUT_FUNCTIONS.register("reranker")
def rerank(request_id: str, customer_id: str, payload: dict) -> dict[str, Any]:
    documents = payload.get("documents")
    if documents is None:
        documents = retrieve(request_id, customer_id, payload)["documents"]
    return {"documents": sorted(documents)[:RERANKED_DOCUMENTS]}


@OUTPUT_FUNCTIONS.register("service")
def serve(request_id: str, customer_id: str, payload: dict) -> dict[str, Any]:
    return {"result": f"done {request_id}", "request_id": request_id}
