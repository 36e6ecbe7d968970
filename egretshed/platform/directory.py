"""Forms of the directory: where callers ask which nodes to connect to."""

import msgspec

JSON_HEADERS = [("Content-Type", "application/json")]
RESOLVE_PATH = "/resolve"


def is_resolve_request(target: str) -> bool:
    """Return whether a request asks for addresses."""
    return target.partition("?")[0] == RESOLVE_PATH


def encode_addresses(addresses: list[str], keep_s: float) -> bytes:
    """Return the body that names ``HOST:PORT`` addresses, to be kept for `keep_s`."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": keep_s})
