"""Digests of customer and operator keys, and their comparison in constant time."""

import hashlib
import hmac
from collections.abc import Iterable

DIGEST_BYTES = 20


def digest_key(key: str) -> str:
    """Return the hex digest by which a key is declared.

    An unsalted hash is sufficient because keys are random strings, not passwords.
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()


def matches_any_digest(key: str, digests: Iterable[str]) -> bool:
    """Return whether `key` has one of `digests`.

    Compares with every digest, so that the time taken does not reveal which one
    matched.
    """
    key_digest = digest_key(key)
    is_match = False
    for digest in digests:
        is_match |= hmac.compare_digest(key_digest, digest)
    return is_match
