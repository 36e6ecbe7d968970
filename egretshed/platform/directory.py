"""Messages of the directory, which callers ask for the addresses of nodes."""

import msgspec

JSON_HEADERS = [("Content-Type", "application/json")]
RESOLVE_PATH = "/resolve"


def is_resolve_request(target: str) -> bool:
    """Return whether a request target asks for addresses."""
    return target.partition("?")[0] == RESOLVE_PATH


def encode_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Return a response body with ``HOST:PORT`` addresses, valid for `ttl_s`."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})
