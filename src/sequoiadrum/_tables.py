"""Plain-text tables and JSON output of the command line."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Formats rows as a table; numeric columns are right-aligned.

    Values are never truncated, so that the output can be processed with `awk`.
    """
    cells = [[_format_cell(value) for value in row] for row in rows]
    widths = [
        max(len(heading), *(len(row[column]) for row in cells), 0)
        for column, heading in enumerate(headings)
    ]
    is_numeric = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headings))
    ]
    lines = []
    for row in ([heading.upper() for heading in headings], *cells):
        padded = [
            value.rjust(width) if is_right_aligned else value.ljust(width)
            for value, width, is_right_aligned in zip(row, widths, is_numeric, strict=True)
        ]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines) + "\n"


def to_json(value: object) -> str:
    """Formats thrift structures, lists and plain values as indented JSON."""
    return json.dumps(to_plain(value), indent=2) + "\n"


def to_plain(value: Any) -> Any:
    """Converts thrift structures to dictionaries; `value_json` becomes the decoded `value`."""
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if not hasattr(value, "thrift_spec"):
        return value
    fields = {name: to_plain(getattr(value, name)) for name in value.__slots__}
    if "value_json" in fields:
        fields["value"] = json.loads(fields.pop("value_json"))
    return fields


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.10g}"
    return "-" if value in (None, "") else str(value)
