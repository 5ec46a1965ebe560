"""Plain text tables and JSON for the command line."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


def table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Lays rows out in columns; numbers are flushed right.

    Whole values are kept however long they are, so that the output can be cut with `awk`.
    """
    cells = [[_text(value) for value in row] for row in rows]
    widths = [
        max(len(heading), *(len(row[column]) for row in cells), 0)
        for column, heading in enumerate(headings)
    ]
    is_number = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headings))
    ]
    lines = []
    for row in ([heading.upper() for heading in headings], *cells):
        padded = [
            value.rjust(width) if right else value.ljust(width)
            for value, width, right in zip(row, widths, is_number, strict=True)
        ]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines) + "\n"


def to_json(value: object) -> str:
    """Writes thrift structures, lists and plain values as indented JSON."""
    return json.dumps(plain(value), indent=2) + "\n"


def plain(value: Any) -> Any:
    """Turns thrift structures into dictionaries; `value_json` becomes the document itself."""
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    if not hasattr(value, "thrift_spec"):
        return value
    fields = {name: plain(getattr(value, name)) for name in value.__slots__}
    if "value_json" in fields:
        fields["value"] = json.loads(fields.pop("value_json"))
    return fields


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.10g}"
    return "-" if value in (None, "") else str(value)
