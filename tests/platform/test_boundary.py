"""Rules on which modules may use the names of the platform."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path
from typing import Final

_PACKAGE: Final = Path(__file__).parent.parent.parent / "src" / "sequoiadrum"
_ADAPTER: Final = _PACKAGE / "platform"
_WIRE_NAMES: Final = (
    r"Sequoiadrum-[A-Z]",
    r"SEQUOIADRUM_NODE_FILE",
    r"/resolve\b",
    r"\bKv-(From|Fetch)\b",
    r"\bkv_(capacity_tokens|token_bytes)\b",
    r"\b(tenant|tenants|api_keys|path_prefixes|backends|cold_left_ms|max_conns|gap_goal_ms)\b",
    r"\b(drain_ms|config_apply_ms|contact_ms|retry_budget_ratio|retention_s)\b",
    r"\b(node_name|machine_class|internal_ports|fault_tolerance|seed_lag_s)\b",
)
_WIRE: Final = re.compile("|".join(_WIRE_NAMES))
_REPLACED_TERMS: Final = re.compile(r"\b(tenants?|machines?|incumbent)\b", re.IGNORECASE)
"""Words of the users' pages for which the code uses other terms."""
_GATEWAY: Final = _PACKAGE / "gateway"


def _modules(folder: Path) -> list[Path]:
    return sorted(
        path
        for path in folder.rglob("*.py")
        if _ADAPTER not in path.parents and "_gen" not in path.parts
    )


class BoundaryTest(unittest.TestCase):
    """Only the adapter depends on the platform."""

    def test_no_wire_name_outside_the_adapter(self) -> None:
        """Guards against platform headers, paths, objects and settings outside the adapter."""
        for path in _modules(_PACKAGE):
            with self.subTest(path.name):
                self.assertEqual([m.group() for m in _WIRE.finditer(path.read_text())], [])

    def test_gateway_uses_the_words_of_the_project(self) -> None:
        """Guards against two terms for an instance, a failure domain, an account or an endpoint."""
        for path in _modules(_GATEWAY):
            with self.subTest(path.name):
                self.assertEqual(
                    [m.group() for m in _REPLACED_TERMS.finditer(path.read_text())], []
                )

    def test_nothing_imports_the_adapter(self) -> None:
        """Guards against decisions that depend on a particular platform."""
        for path in _modules(_PACKAGE):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.ImportFrom) and node.module:
                    self.assertFalse(node.module.startswith("sequoiadrum.platform."), path.name)

    def test_gateway_core_has_no_io(self) -> None:
        """Guards against clocks, threads and sockets in modules that are tested in virtual time."""
        forbidden = {"socket", "threading", "http", "time", "queue", "select", "waitress"}
        for name in ("model", "routing", "endpoints", "placement", "retry_budget", "sse_framing"):
            tree = ast.parse((_GATEWAY / f"{name}.py").read_text())
            roots = {
                alias.name.split(".")[0]
                for node in ast.walk(tree)
                if isinstance(node, ast.Import)
                for alias in node.names
            }
            with self.subTest(name):
                self.assertFalse(roots & forbidden)
