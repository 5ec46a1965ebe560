"""An in-memory platform with faults, for tests without sockets."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import define, field
from returns.result import Failure, Result, Success

from sequoiadrum.platform_client import PlatformClient, PlatformFailure, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


@define(eq=False)
class FakePlatform(PlatformClient):
    """Conditional writes whose answers may be lost, and which may take effect late."""

    rng: random.Random = field(factory=lambda: random.Random(1))
    lose_before: float = 0.0
    """Share of writes that are lost without an effect."""
    lose_after: float = 0.0
    """Share of writes that take effect and whose answer is lost."""
    delay_lost: float = 0.0
    """Share of lost writes that take effect at a later call."""
    down: bool = False
    before_put: Callable[[], None] | None = None
    """Called once before the next write."""
    objects: dict[str, StoredObject] = field(factory=dict)
    reads: int = 0
    _late: list[tuple[str, bytes, int]] = field(factory=list)
    _version: int = 0

    def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        if self.down:
            return Failure(PlatformFailure.UNREACHABLE)
        self.reads += 1
        found = self.objects.get(name)
        return Failure(PlatformFailure.NOT_FOUND) if found is None else Success(found)

    def put(
        self, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, PlatformFailure]:
        hook, self.before_put = self.before_put, None
        if hook is not None:
            hook()
        if self.down:
            return Failure(PlatformFailure.UNREACHABLE)
        if self._late and self.rng.random() < 0.5:
            self._store(*self._late.pop())
        if self.rng.random() < self.lose_before:
            if self.rng.random() < self.delay_lost:
                self._late.append((name, value, expected_version))
            return Failure(PlatformFailure.UNKNOWN)
        stored = self._store(name, value, expected_version)
        if self.rng.random() < self.lose_after:
            return Failure(PlatformFailure.UNKNOWN)
        return Failure(PlatformFailure.CONFLICT) if stored is None else Success(stored)

    def version_of(self, name: str) -> int:
        """Gives an object's version, 0 without one."""
        found = self.objects.get(name)
        return found.version if found else 0

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformFailure]:
        self.objects.pop(name, None)
        return Success(None)

    def list_names(self, prefix: str) -> Result[Sequence[tuple[str, int]], PlatformFailure]:
        return Success([(n, o.version) for n, o in self.objects.items() if n.startswith(prefix)])

    def watch(
        self, name: str, known_version: int, timeout_s: float
    ) -> Result[StoredObject | None, PlatformFailure]:
        return self.get(name)

    def list_instances(self) -> Result[Sequence[object], PlatformFailure]:  # type: ignore[override]
        return Success([])

    def _store(self, name: str, value: bytes, expected: int) -> StoredObject | None:
        if self.version_of(name) != expected:
            return None
        self._version += 1
        self.objects[name] = StoredObject(name, self._version, value)
        return self.objects[name]
