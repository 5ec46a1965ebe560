"""A router fleet for chats that return."""

from __future__ import annotations

from typing import Final

__version__: Final = "0.1.0"
