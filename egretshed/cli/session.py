"""Session that is passed to each command, and readers of its input files."""

from pathlib import Path
from typing import (
    Any,
    NamedTuple,
)

import msgspec

from egretshed.cli.client import (
    CommandFailed,
    NodeClient,
)
from egretshed.cli.output import Printer
from egretshed.errors import ExitStatus

OPERATOR_PATH = "/v1/operator"


class Session(NamedTuple):
    """Client and printer of a command; paths are relative to the operator interface."""

    client: NodeClient
    printer: Printer

    async def get(self, path: str) -> Any:
        return await self.client.get(OPERATOR_PATH + path)

    async def post(self, path: str, body: Any) -> Any:
        return await self.client.post(OPERATOR_PATH + path, body)


def usage_error(message: str) -> CommandFailed:
    return CommandFailed(ExitStatus.USAGE, {"error": "usage", "message": message})


def read_content(path: Path) -> bytes:
    """Return the content of a file; raise `CommandFailed` if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise usage_error(f"cannot read {path}: {error.strerror}") from None


def read_json(path: Path) -> Any:
    """Return the decoded JSON of a file; raise `CommandFailed` if it is not JSON."""
    content = read_content(path)
    try:
        return msgspec.json.decode(content)
    except msgspec.DecodeError as error:
        body = {"error": "configuration_invalid", "message": f"{path}: {error}"}
        raise CommandFailed(ExitStatus.BAD_CONFIGURATION, body) from None


def read_declarations(path: Path) -> dict[str, Any]:
    """Return the declared objects by id, from a file or a folder with a file per kind.

    A single file holds ``{kind/name: body}``. In a folder, the name of a file is the
    kind, and the file holds ``{name: body}``: ``pools.json`` declares the pools.
    """
    if not path.is_dir():
        objects = read_json(path)
        if not isinstance(objects, dict):
            raise usage_error(f"{path} must hold a JSON object {{kind/name: body}}")
        return objects
    objects = {}
    for file in sorted(path.glob("*.json")):
        bodies = read_json(file)
        if not isinstance(bodies, dict):
            raise usage_error(f"{file} must hold a JSON object {{name: body}}")
        objects |= {f"{file.stem}/{name}": body for name, body in bodies.items()}
    if not objects:
        raise usage_error(f"{path} holds no declarations")
    return objects
