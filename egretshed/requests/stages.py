"""Builds the payload of each stage by its role and merges its output into the state."""

from typing import (
    Any,
    NamedTuple,
)

from egretshed.configuration.schema import (
    RequestKind,
    Stage,
)
from egretshed.registry import Registry


class PipelineState(NamedTuple):
    """Input of a request and the outputs of its stages so far."""

    customer_id: str
    kind_name: str
    kind: RequestKind
    body: dict[str, Any]
    vector: tuple[float, ...] = ()
    documents: tuple[str, ...] = ()
    result: dict[str, Any] | None = None

    def max_tokens(self) -> int:
        """Return how many tokens the request may generate at most."""
        return min(
            self.body.get("max_tokens") or self.kind.max_tokens, self.kind.max_tokens
        )


STAGE_HANDLERS: Registry[type] = Registry("stage role")


def stage_handler(role: str) -> type:
    return STAGE_HANDLERS.get(role)


def cache_prefix(state: PipelineState) -> str:
    """Return the key of the prompt prefix that requests of a session share."""
    session = state.body.get("session", "")
    return f"{state.customer_id}/{state.kind_name}/{session}"


@STAGE_HANDLERS.register("encoder")
class EncoderHandler:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        return {"text": state.body.get("prompt", ""), **stage.options}

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state._replace(vector=tuple(output.get("vector", ())))


@STAGE_HANDLERS.register("retriever")
class RetrieverHandler:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        query = state.body.get("prompt", "")
        return {"vector": state.vector, "query": query, **stage.options}

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state._replace(documents=tuple(output.get("documents", ())))


@STAGE_HANDLERS.register("reranker")
class RerankerHandler:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        query = state.body.get("prompt", "")
        return {"query": query, "documents": state.documents, **stage.options}

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state._replace(documents=tuple(output.get("documents", ())))


@STAGE_HANDLERS.register("engine")
class EngineHandler:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        prompt = "\n".join((*state.documents, str(state.body.get("prompt", ""))))
        return {
            "prompt": prompt,
            "max_tokens": state.max_tokens(),
            "cache_prefix": cache_prefix(state),
            **stage.options,
        }

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state


@STAGE_HANDLERS.register("service")
class ServiceHandler:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        return {"body": state.body, **stage.options}

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state._replace(result=output)
