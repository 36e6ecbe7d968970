"""Requests and responses in the relay's form; the platform adapter decodes them."""

from typing import NamedTuple

from egretshed.servers.signals import ServerSignals


class PromptPart(NamedTuple):
    """A segment of a prompt; requests with the same `part_id` share the segment."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """The prompt of a request to a model engine: its parts and token counts.

    The last part is specific to the request or its session; the others may be shared.
    """

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int

    def affinity_key(self) -> str:
        """Return the id of the last part that other requests may share.

        It identifies the longest shareable prefix. A prompt of one part has only that
        part's id, and a prompt without parts the empty string.
        """
        if not self.parts:
            return ""
        return self.parts[-2 if len(self.parts) > 1 else -1].part_id

    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have as well, outermost first."""
        return self.parts[:-1]


class CallerRequest(NamedTuple):
    """One request as received from a caller.

    `headers` are those to forward unchanged. `deadline_s` is the time the caller waits,
    in seconds from `received_s`, or None if the caller did not state it. `resumes` is
    the id of the request that brought the first event of the stream to take up.
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
    last_event_id: str = ""
    resumes: str = ""

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller holds events of the stream from an earlier request."""
        return bool(self.last_event_id or self.resumes)


class ForwardFields(NamedTuple):
    """Values that the relay adds to the headers of a forwarded request."""

    server_id: str
    remaining_s: float
    customer: str = ""
    priority: int | None = None
    stage_results: tuple[str, ...] = ()
    last_event_id: str = ""


class ServerResponse(NamedTuple):
    """The status line and headers of a backend server's response.

    `proves_not_run` is set only if the server states that it did not run the request.
    """

    status: int
    request_id: str
    signature: str
    proves_not_run: bool
    headers: tuple[tuple[str, str], ...]
    is_encoded: bool = False
    signals: ServerSignals = ServerSignals()

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300
