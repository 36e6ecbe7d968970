"""HTTP client of the nodes, which tries the given URLs in order."""

import socket
from typing import (
    Any,
    NamedTuple,
)

import msgspec
from tornado.httpclient import (
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from egretshed.cli.environment import CliEnvironment
from egretshed.errors import (
    EgretshedError,
    ExitStatus,
    OutcomeUnknown,
    PeerUnavailable,
)

CALL_TIMEOUT_S = 15.0
# Lowest HTTP status that is not a success.
MIN_FAILURE_STATUS = 300
# Errors that occur only before a connection is established.
NOT_SENT_ERRORS = (ConnectionRefusedError, socket.gaierror)


class CommandFailed(Exception):
    """Ends a command with an exit status.

    `body` is the JSON body of the error, with at least `error` and `message`.
    """

    def __init__(self, status: ExitStatus, body: dict[str, Any]):
        self.status = status
        self.body = body
        super().__init__(body.get("message", ""))


class NodeClient(NamedTuple):
    """Sends authenticated requests to the nodes at `urls`."""

    env: CliEnvironment
    urls: tuple[str, ...]
    key: str

    async def get(self, path: str) -> Any:
        return await self.call("GET", path, None)

    async def post(self, path: str, body: Any) -> Any:
        return await self.call("POST", path, body)

    async def call(self, method: str, path: str, body: Any) -> Any:
        """Return the decoded response of the first node that responds.

        A GET is retried at the next node after any error. A POST is retried only if no
        connection was established, since otherwise the node may have executed it.
        """
        last_error: Exception | None = None
        for url in self.urls:
            request = self.build_request(url, method, path, body)
            try:
                response = await self.env.http.fetch(request, raise_error=False)
            except (OSError, HTTPClientError) as error:
                last_error = error
                if method == "GET" or not may_have_been_sent(error):
                    continue
                failure = OutcomeUnknown(f"{url} did not respond: {error}")
                raise CommandFailed(failure.exit_status, failure.to_body()) from error
            return decode_response(response)
        failure = PeerUnavailable(
            f"no node answers: {', '.join(self.urls)} ({last_error})"
        )
        raise CommandFailed(failure.exit_status, failure.to_body())

    def build_request(
        self, url: str, method: str, path: str, body: Any, **options: Any
    ):
        headers = {"Authorization": f"Bearer {self.key}", **options.pop("headers", {})}
        options.setdefault("request_timeout", CALL_TIMEOUT_S)
        return HTTPRequest(
            url.rstrip("/") + path,
            method=method,
            headers=headers,
            body=None if body is None else msgspec.json.encode(body),
            connect_timeout=CALL_TIMEOUT_S,
            **options,
        )


def may_have_been_sent(error: OSError | HTTPClientError) -> bool:
    """Return whether a request that failed with `error` may have reached the node.

    A connection may be reset after the node has read the request.
    """
    return not isinstance(error, NOT_SENT_ERRORS)


def decode_response(response: HTTPResponse) -> Any:
    """Return the decoded body; raise `CommandFailed` for a failure or invalid JSON."""
    try:
        body = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        message = f"{response.effective_url}: status {response.code} without JSON body"
        failure = {"error": "malformed_answer", "message": message}
        raise CommandFailed(ExitStatus.ERROR, failure) from None
    if response.code >= MIN_FAILURE_STATUS:
        if not isinstance(body, dict):
            body = {"error": "malformed_answer", "message": str(body)}
        raise CommandFailed(exit_status_of(body.get("error", "")), body)
    return body


def exit_status_of(code: str) -> ExitStatus:
    """Return the exit status that `egretshed.errors` defines for an error code."""
    error_types = [EgretshedError]
    while error_types:
        error_type = error_types.pop()
        if error_type.code == code:
            return error_type.exit_status
        error_types += error_type.__subclasses__()
    return ExitStatus.ERROR
