"""Shared key of the nodes' mutual authentication, kept in the platform's store.

The first node to start writes a new key. The write is conditional, so that nodes that
start at the same time use the same key.
"""

import secrets

from egretshed.environment import Environment
from egretshed.errors import (
    PlatformUnavailable,
    TableConflict,
    TableOutcomeUnknown,
)
from egretshed.logs import log_event
from egretshed.platform.store import (
    RowStore,
    RowWrite,
)

KEY_TABLE = "egretshed_keys"
KEY_NAME = "peers"
KEY_BYTES = 24
RETRY_DELAY_S = 0.3


async def obtain_shared_key(env: Environment, store: RowStore) -> str:
    """Return the stored key, or store a new one; retry until the store responds."""
    while True:
        try:
            rows = (await store.read_table(KEY_TABLE)).rows
            for row in rows:
                if row.key == KEY_NAME and row.value:
                    return row.value.decode("ascii")
            key = secrets.token_urlsafe(KEY_BYTES)
            await store.write(
                KEY_TABLE, [RowWrite(KEY_NAME, key.encode())], {KEY_NAME: 0}
            )
            return key
        except TableConflict:
            continue
        except (PlatformUnavailable, TableOutcomeUnknown) as error:
            log_event(env.logger, "peer_key_unavailable", reason=str(error))
            await env.clock.sleep(RETRY_DELAY_S * env.random.uniform(0.5, 1.5))
