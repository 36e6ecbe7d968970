"""What a command works with: the client, the printer and the command-line options."""

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

OPERATOR = "/v1/operator"


class Session(NamedTuple):
    client: NodeClient
    printer: Printer

    async def get(self, path: str) -> Any:
        return await self.client.get(OPERATOR + path)

    async def post(self, path: str, body: Any) -> Any:
        return await self.client.post(OPERATOR + path, body)


def usage_error(message: str) -> CommandFailed:
    return CommandFailed(ExitStatus.USAGE, {"error": "usage", "message": message})


def read_json(path: Path) -> Any:
    """Return the JSON in a file; a file that has none ends the command."""
    try:
        return msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise usage_error(f"cannot read {path}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        body = {"error": "configuration_invalid", "message": f"{path}: {error}"}
        raise CommandFailed(ExitStatus.BAD_CONFIGURATION, body) from None


def read_declarations(path: Path) -> dict[str, Any]:
    """Return objects by id from a file of objects, or a folder with a file per kind.

    In a folder, ``pools.json`` holds ``{name: body}``; a file holds
    ``{kind/name: body}``.
    """
    if not path.is_dir():
        objects = read_json(path)
        if not isinstance(objects, dict):
            raise usage_error(f"{path} must hold an object of {{kind/name: body}}")
        return objects
    objects = {}
    for file in sorted(path.glob("*.json")):
        bodies = read_json(file)
        if not isinstance(bodies, dict):
            raise usage_error(f"{file} must hold an object of {{name: body}}")
        objects |= {f"{file.stem}/{name}": body for name, body in bodies.items()}
    if not objects:
        raise usage_error(f"{path} holds no declarations")
    return objects
