"""Prints results as tables for people or as JSON for programs."""

from typing import (
    Any,
    TextIO,
)

import msgspec
from rich.console import Console
from rich.table import Table

from egretshed.cli.environment import CliEnvironment

# Width of tables if the output is not a terminal.
TABLE_WIDTH = 160


class Printer:
    """Prints results in one format.

    `format_` is ``table`` or ``json``. Results go to standard output, messages to
    standard error.
    """

    def __init__(self, env: CliEnvironment, format_: str):
        self.env = env
        self.is_json = format_ == "json"

    def line(self, text: str) -> None:
        self.env.stdout.write(text + "\n")

    def error_line(self, text: str) -> None:
        self.env.stderr.write(text + "\n")

    def json(self, value: Any) -> None:
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.line(text.decode())

    def rows(self, rows: list[dict[str, Any]], columns: tuple[str, ...] = ()) -> None:
        """Print one row per record.

        `columns` selects the columns of a table; JSON output holds all fields.
        """
        if self.is_json:
            self.json(rows)
            return
        names = columns or tuple(dict.fromkeys(name for row in rows for name in row))
        table = Table(*names)
        for row in rows:
            table.add_row(*(format_cell(row.get(name)) for name in names))
        make_console(self.env.stdout).print(table)

    def record(self, record: dict[str, Any]) -> None:
        """Print one record, as a table with a row per field."""
        if self.is_json:
            self.json(record)
            return
        table = Table(show_header=False)
        for name, value in record.items():
            table.add_row(name, format_cell(value))
        make_console(self.env.stdout).print(table)


def make_console(stream: TextIO) -> Console:
    width = None if stream.isatty() else TABLE_WIDTH
    return Console(file=stream, width=width, highlight=False, markup=False)


def format_cell(value: Any) -> str:
    if isinstance(value, str):
        return value
    if isinstance(value, float):
        return f"{value:g}"
    return msgspec.json.encode(value).decode()
