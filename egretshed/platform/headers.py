"""Header names of the platform's protocol, by what they hold."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Names on the wire; each field says what the header carries."""

    request_id: str = "Request-Id"
    deadline_ms: str = "Deadline-Ms"
    expected_server: str = "Expect-Replica"
    server_id: str = "Replica-Id"
    server_load: str = "Replica-Load"  # running, waiting, slots
    signature: str = "Replica-Signature"
    not_run: str = "Not-Executed"
    cold_ms: str = "Cold-Ms"
    customer: str = "Tenant"
    priority: str = "Request-Priority"
    prompt_parts: str = "Prefix-Hash"  # ID:TOKENS of each part, in order
    token_counts: str = "Token-Usage"  # prompt tokens, most output tokens
    piece_counts: str = "Chunks"  # pieces of each stage
    piece_key: str = "Chunk-Key"
    stage_results: str = "Inputs"


HEADERS = HeaderNames()

KEY_SCHEME = "Token"

# Headers that the system alone may set towards a backend server.
SYSTEM_HEADERS = frozenset(
    {
        "Expect-Replica",
        "Expect-Version",
        "Tenant",
        "Request-Priority",
        "Retain",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Inputs",
        "Deadline-Ms",
    }
)
