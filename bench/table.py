"""Formats the rows of a benchmark as text."""

from typing import Any

COLUMNS = {
    "deployment": "deployment",
    "scenario": "scenario",
    "policy": "policy",
    "without": "without",
    "offered": "offered",
    "attainment_share": "attained",
    "goodput_share": "goodput",
    "first_token_p95_s": "first p95 s",
    "between_tokens_p95_ms": "gap p95 ms",
    "refusals": "refused",
    "wasted_share": "wasted",
    "control_cpu_share": "cpu",
    "control_bytes_per_s": "bytes/s",
    "control_memory_mb": "MB",
    "engine_slowdown": "slowdown",
    "promises_broken": "broken",
    "failure": "failure",
}
COLUMN_SEPARATOR = "  "


def format_table(rows: list[dict[str, Any]]) -> str:
    """Return a table with a header line and one line per row."""
    lines = [list(COLUMNS.values())]
    lines += [[_cell(row.get(name)) for name in COLUMNS] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    )


def progress_line(number: int, count: int, row: dict[str, Any]) -> str:
    """Return the line to print when a run has ended."""
    name = f"{row['deployment']} {row['scenario']} {row['policy']}"
    if row["without"]:
        name += f" without {' '.join(row['without'])}"
    attained = _cell(row.get("attainment_share"))
    broken = _cell(row.get("promises_broken"))
    failure = f", failure: {row['failure']}" if row["failure"] else ""
    return f"{number}/{count} {name}: attained {attained}, broken {broken}{failure}"


def _cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case float():
            return f"{value:.4g}"
        case dict():
            return " ".join(f"{k}:{v}" for k, v in sorted(value.items())) or "none"
        case list() | tuple():
            return " ".join(map(str, value)) or "-"
    return str(value)
