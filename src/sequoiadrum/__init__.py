"""A fleet of routers that places chat requests on model engines."""

from __future__ import annotations

from typing import Final

__version__: Final = "0.1.0"
