"""The key with which the nodes authenticate each other, kept in the platform's store.

The first node to start writes one; a conditional write makes the others use the same.
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
RETRY_S = 0.3


async def obtain_shared_key(env: Environment, store: RowStore) -> str:
    """Return the key, writing a new one if there is none; waits for the store."""
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
            await env.clock.sleep(RETRY_S * env.random.uniform(0.5, 1.5))
