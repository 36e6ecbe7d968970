"""Client of the nodes' HTTP interface, which tries the given nodes in turn."""

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
HTTP_OK = 300


class CommandFailed(Exception):
    """Ends a command with an exit status and a message or an error's JSON body."""

    def __init__(self, status: ExitStatus, body: dict[str, Any]):
        self.status = status
        self.body = body
        super().__init__(body.get("message", ""))


class NodeClient(NamedTuple):
    env: CliEnvironment
    urls: tuple[str, ...]
    key: str

    async def get(self, path: str) -> Any:
        return await self.call("GET", path, None)

    async def post(self, path: str, body: Any) -> Any:
        return await self.call("POST", path, body)

    async def call(self, method: str, path: str, body: Any) -> Any:
        """Return the decoded answer of the first node that answers.

        A POST goes to another node only if the connection failed, since otherwise the
        first node may have acted on it.
        """
        last: Exception | None = None
        for url in self.urls:
            request = self.request(url, method, path, body)
            try:
                response = await self.env.http.fetch(request, raise_error=False)
            except OSError as error:
                last = error
                continue
            except HTTPClientError as error:
                last = error
                if method == "GET":
                    continue
                failure = OutcomeUnknown(f"{url} gave no answer: {error.message}")
                raise CommandFailed(failure.exit_status, failure.to_body()) from error
            return read_answer(response)
        failure = PeerUnavailable(f"no node answers: {', '.join(self.urls)} ({last})")
        raise CommandFailed(failure.exit_status, failure.to_body())

    def request(self, url: str, method: str, path: str, body: Any, **options: Any):
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


def read_answer(response: HTTPResponse) -> Any:
    try:
        answer = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        message = f"{response.effective_url} answered {response.code} without JSON"
        body = {"error": "malformed_answer", "message": message}
        raise CommandFailed(ExitStatus.ERROR, body) from None
    if response.code >= HTTP_OK:
        raise CommandFailed(exit_status_of(answer.get("error", "")), answer)
    return answer


def exit_status_of(code: str) -> ExitStatus:
    """Return the exit status that `egretshed.errors` gives to a failure code."""
    pending = [EgretshedError]
    while pending:
        error = pending.pop()
        if error.code == code:
            return error.exit_status
        pending += error.__subclasses__()
    return ExitStatus.ERROR
