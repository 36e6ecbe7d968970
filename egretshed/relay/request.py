"""One caller's request as the relay sees it, decoded from the wire by the adapter."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt; requests share parts with the same id."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """What a request to a model engine says of its prompt.

    The last part belongs to the request or to its session.
    """

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int

    def affinity_key(self) -> str:
        """Return the id of the longest sequence of parts that others may share."""
        if not self.parts:
            return ""
        return self.parts[-2 if len(self.parts) > 1 else -1].part_id

    def shared_tokens(self) -> int:
        return sum(part.tokens for part in self.parts[:-1])


class CallerRequest(NamedTuple):
    """One client attempt.

    `headers` are those to pass on unchanged; `deadline_s` is the time that the caller
    waits, counted from `received_s`, or None if it did not say.
    """

    request_id: str
    method: str
    target: str
    host: str
    key: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_s: float
    deadline_s: float | None = None
    prompt: Prompt | None = None
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""


class ForwardFields(NamedTuple):
    """What the system itself tells a backend server with a request."""

    server_id: str
    remaining_s: float
    customer: str = ""
    priority: int | None = None
    stage_results: tuple[str, ...] = ()
    last_event_id: str = ""


class ServerResponse(NamedTuple):
    """The head of a backend server's answer.

    `proves_not_run` is set only if the server states that it did not run the request.
    """

    status: int
    request_id: str
    signature: str
    proves_not_run: bool
    load: tuple[int, int, int] | None
    headers: tuple[tuple[str, str], ...]
    is_encoded: bool = False

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300
