"""Prints answers as tables for people or as JSON for programs."""

from typing import (
    Any,
    TextIO,
)

import msgspec
from rich.console import Console
from rich.table import Table

from egretshed.cli.environment import CliEnvironment

TABLE_WIDTH = 160


class Printer:
    """Writes data in one format; `format_` is ``table`` or ``json``."""

    def __init__(self, env: CliEnvironment, format_: str):
        self.env = env
        self.is_json = format_ == "json"

    def line(self, text: str) -> None:
        self.env.stdout.write(text + "\n")

    def note(self, text: str) -> None:
        self.env.stderr.write(text + "\n")

    def json(self, value: Any) -> None:
        body = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.line(body.decode())

    def rows(self, rows: list[dict[str, Any]], columns: tuple[str, ...] = ()) -> None:
        """Print one row per record; `columns` restricts a table, never JSON."""
        if self.is_json:
            self.json(rows)
            return
        names = columns or tuple(dict.fromkeys(name for row in rows for name in row))
        table = Table(*names)
        for row in rows:
            table.add_row(*(cell(row.get(name)) for name in names))
        console(self.env.stdout).print(table)

    def record(self, record: dict[str, Any]) -> None:
        if self.is_json:
            self.json(record)
            return
        table = Table(show_header=False)
        for name, value in record.items():
            table.add_row(name, cell(value))
        console(self.env.stdout).print(table)


def console(stream: TextIO) -> Console:
    width = None if stream.isatty() else TABLE_WIDTH
    return Console(file=stream, width=width, highlight=False, markup=False)


def cell(value: Any) -> str:
    if isinstance(value, str):
        return value
    if isinstance(value, float):
        return f"{value:g}"
    return msgspec.json.encode(value).decode()
