"""Entry point of the command-line tool `egretshed`."""

import asyncio
import os
import sys
from dataclasses import (
    dataclass,
    field,
)
from pathlib import Path
from typing import (
    Annotated,
    Any,
    Literal,
)

import cappa
from rich.console import Console

from egretshed.cli.client import (
    CommandFailed,
    NodeClient,
)
from egretshed.cli.commands.check import Check
from egretshed.cli.commands.configuration import (
    Apply,
    Config,
)
from egretshed.cli.commands.explain import Explain
from egretshed.cli.commands.plans import (
    Domain,
    Model,
    NodeCommand,
    PlanCommand,
)
from egretshed.cli.commands.send import Send
from egretshed.cli.commands.show import (
    Nodes,
    Replicas,
    Requests,
    Status,
)
from egretshed.cli.environment import (
    CliEnvironment,
    system_environment,
)
from egretshed.cli.output import Printer
from egretshed.cli.session import (
    Session,
    usage_error,
)
from egretshed.errors import ExitStatus

DEFAULT_URL = "http://127.0.0.1:8080"
COMPLETION_WIDTH = 10_000
EXIT_CODES = ", ".join(f"{s.value} {s.name.lower()}" for s in ExitStatus)


@cappa.command(
    name="completion",
    help="Print the completion script for the shell in $SHELL.",
)
@dataclass
class Completion:
    pass


@cappa.command(name="egretshed", description=f"Exit codes: {EXIT_CODES}.")
@dataclass
class Egretshed:
    """Show the state of egretshed, propose plans that change it, and control them."""

    command: cappa.Subcommands[
        Status
        | Nodes
        | Replicas
        | Requests
        | Check
        | Config
        | Apply
        | Send
        | Explain
        | Domain
        | Model
        | NodeCommand
        | PlanCommand
        | Completion
    ]
    format: Annotated[
        Literal["table", "json"],
        cappa.Arg(long="--format", propagate=True, help="Output format."),
    ] = "table"
    node: Annotated[
        list[str],
        cappa.Arg(
            long="--node",
            propagate=True,
            help="URL of a node; repeatable. Default: comma-separated EGRETSHED_NODES.",
        ),
    ] = field(default_factory=list)
    key_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--key-file",
            propagate=True,
            help="File that holds the key. Default: the key in EGRETSHED_KEY.",
        ),
    ] = None


def main() -> None:
    env = system_environment(os.environ)
    try:
        status = asyncio.run(run(sys.argv[1:], env))
    except KeyboardInterrupt:
        status = ExitStatus.INTERRUPTED
    sys.exit(status)


async def run(argv: list[str], env: CliEnvironment) -> ExitStatus:
    """Run one command line and write all output to the streams in `env`."""
    options = parse(argv, env)
    if isinstance(options, ExitStatus):
        return options
    if isinstance(options.command, Completion):
        return parse(["--completion", "generate"], env)
    printer = Printer(env, options.format)
    try:
        client = NodeClient(env, read_urls(options, env), read_key(options, env))
        return await options.command.run(Session(client, printer))
    except CommandFailed as failure:
        print_failure(printer, failure)
        return failure.status


def parse(argv: list[str], env: CliEnvironment) -> Any:
    """Return the parsed options, or the exit status if no command is to be run.

    This is the case after usage errors and options such as ``--help``.
    """
    # The script must not be wrapped: line breaks would make it invalid.
    width = COMPLETION_WIDTH if "--completion" in argv[:1] else None
    output = cappa.Output(
        output_console=Console(file=env.stdout, width=width),
        error_console=Console(file=env.stderr),
    )
    try:
        return cappa.parse(Egretshed, argv=argv, output=output, color=False)
    except cappa.Exit as exit_request:
        return ExitStatus.USAGE if exit_request.code else ExitStatus.SUCCESS


def read_urls(options: Egretshed, env: CliEnvironment) -> tuple[str, ...]:
    values = env.variables.get("EGRETSHED_NODES", "").split(",")
    urls = options.node or [url.strip() for url in values if url.strip()]
    return tuple(urls) or (DEFAULT_URL,)


def read_key(options: Egretshed, env: CliEnvironment) -> str:
    if options.key_file is None:
        return env.variables.get("EGRETSHED_KEY", "")
    try:
        return options.key_file.read_text().strip()
    except OSError as error:
        raise usage_error(f"cannot read {options.key_file}: {error.strerror}") from None


def print_failure(printer: Printer, failure: CommandFailed) -> None:
    body = failure.body
    if printer.is_json:
        printer.json(body)
        return
    printer.error_line(f"{body.get('error', 'error')}: {body.get('message', '')}")
    for fault in body.get("faults", ()):
        printer.error_line(f"  {fault['path']}: {fault['message']}")
    for name, value in body.items():
        if name not in ("error", "message", "faults"):
            printer.error_line(f"  {name}: {value}")


if __name__ == "__main__":
    main()
