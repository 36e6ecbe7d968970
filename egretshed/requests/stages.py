"""How the input and output of each role of stage map to the state of a request."""

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
    """What the stages of one request hand to each other."""

    customer_id: str
    kind_name: str
    kind: RequestKind
    body: dict[str, Any]
    vector: tuple[float, ...] = ()
    documents: tuple[str, ...] = ()
    result: dict[str, Any] | None = None

    def tokens(self) -> int:
        """Return the most tokens that the request's generation may make."""
        return min(
            self.body.get("max_tokens") or self.kind.max_tokens, self.kind.max_tokens
        )


STAGE_FORMS: Registry[type] = Registry("stage role")


def stage_form(role: str) -> type:
    return STAGE_FORMS.get(role)


def cache_prefix(state: PipelineState) -> str:
    """Return the key of the prompt prefix that requests of a session share."""
    session = state.body.get("session", "")
    return f"{state.customer_id}/{state.kind_name}/{session}"


@STAGE_FORMS.register("encoder")
class EncoderForm:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        return {"text": state.body.get("prompt", ""), **stage.options}

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state._replace(vector=tuple(output.get("vector", ())))


@STAGE_FORMS.register("retriever")
class RetrieverForm:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        query = state.body.get("prompt", "")
        return {"vector": state.vector, "query": query, **stage.options}

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state._replace(documents=tuple(output.get("documents", ())))


@STAGE_FORMS.register("reranker")
class RerankerForm:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        query = state.body.get("prompt", "")
        return {"query": query, "documents": state.documents, **stage.options}

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state._replace(documents=tuple(output.get("documents", ())))


@STAGE_FORMS.register("engine")
class EngineForm:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        prompt = "\n".join((*state.documents, str(state.body.get("prompt", ""))))
        return {
            "prompt": prompt,
            "max_tokens": state.tokens(),
            "cache_prefix": cache_prefix(state),
            **stage.options,
        }

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state


@STAGE_FORMS.register("service")
class ServiceForm:
    @staticmethod
    def payload(state: PipelineState, stage: Stage) -> dict[str, Any]:
        return {"body": state.body, **stage.options}

    @staticmethod
    def merge(state: PipelineState, output: dict[str, Any]) -> PipelineState:
        return state._replace(result=output)
