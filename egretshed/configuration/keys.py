"""Digests and constant-time comparison of customer and operator keys."""

import hashlib
import hmac
from collections.abc import Iterable

DIGEST_BYTES = 20


def digest_key(key: str) -> str:
    """Return the hex digest under which a key is declared; keys are random strings."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()


def matches_any_digest(key: str, digests: Iterable[str]) -> bool:
    """Compare with every digest, so that the time does not tell which one matched."""
    given = digest_key(key)
    found = False
    for digest in digests:
        found |= hmac.compare_digest(given, digest)
    return found
