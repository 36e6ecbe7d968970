"""Decodes JSON that other programs have written."""

from typing import Any

import msgspec


def decode_untrusted(content: bytes | str, schema: Any = Any) -> Any:
    """Return decoded JSON; raise `msgspec.DecodeError`, whatever the content.

    Bytes that are no text and objects that are nested too deeply raise other errors in
    msgspec.
    """
    try:
        return msgspec.json.decode(content, type=schema)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
