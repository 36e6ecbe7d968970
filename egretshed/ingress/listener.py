"""Close a listener without resetting connections that callers have opened.

The kernel resets connections that are not accepted when their listener closes, also
those that arrive between the last call of ``accept`` and ``close``. So the listener
stops taking new connections first, and is closed once the last of them are accepted.
"""

import socket
from collections.abc import Iterator

from egretshed.environment import Environment
from egretshed.ingress.socket_filter import (
    JUMP_IF_SET,
    LOAD_BYTE,
    RETURN,
    WHOLE_PACKET,
    attach_filter,
)
from egretshed.logs import log_event

# Time for the last packet of handshakes that had begun before.
HANDSHAKE_LIMIT_S = 0.005
TCP_FLAGS_OFFSET = 13
TCP_FLAG_SYN = 0x02
DROP_SYN = (
    (LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (JUMP_IF_SET, 0, 1, TCP_FLAG_SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_PACKET),
)


async def accept_last(
    listener: socket.socket, env: Environment
) -> list[tuple[socket.socket, tuple]]:
    """Take no new connections and return the opened ones with their addresses.

    The listener can be closed after that. The kernel of a caller that connects
    meanwhile tries again after a second, and is refused then.
    """
    try:
        attach_filter(listener, DROP_SYN)
    except OSError as error:
        log_event(env.logger, "listener_filter_failed", error=str(error))
    await env.clock.sleep(HANDSHAKE_LIMIT_S)
    return list(_accept_all(listener, env))


def _accept_all(
    listener: socket.socket, env: Environment
) -> Iterator[tuple[socket.socket, tuple]]:
    while True:
        try:
            yield listener.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:  # the caller has closed it meanwhile
            continue
        except OSError as error:  # such as no file descriptors left
            log_event(env.logger, "listener_accept_failed", error=str(error))
            return
