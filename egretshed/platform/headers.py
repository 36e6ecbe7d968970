"""Header names of the platform's HTTP protocol."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names; each field is named after the content of its header."""

    request_id: str = "Request-Id"
    deadline_ms: str = "Deadline-Ms"
    expected_server: str = "Expect-Replica"
    server_id: str = "Replica-Id"
    server_load: str = "Replica-Load"  # running, waiting, slots, slowness in hundredths
    rate_limit: str = "Server-Limit"  # requests per second from all callers together
    leaving: str = "Server-Leaving"  # 1 in all responses of a server that leaves
    retry_after: str = "Retry-After"  # pause in seconds, of a 503 for the node it is to
    store_era: str = "Store-Era"  # rises when the store is restored from a copy
    signature: str = "Replica-Signature"
    not_run: str = "Not-Executed"
    cold_ms: str = "Cold-Ms"
    customer: str = "Tenant"
    priority: str = "Request-Priority"
    prompt_parts: str = "Prefix-Hash"  # ID:TOKENS of each prompt part, in order
    token_counts: str = "Token-Usage"  # prompt tokens, maximum output tokens
    piece_counts: str = "Chunks"  # number of pieces of each stage
    piece_key: str = "Chunk-Key"
    stage_results: str = "Inputs"
    last_event_id: str = "Last-Event-Id"
    resumes: str = "Resumes"  # id of the request that brought a stream's first event


HEADERS = HeaderNames()

KEY_SCHEME = "Token"

# Headers to backend servers that only this system sets; those of callers are dropped.
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
