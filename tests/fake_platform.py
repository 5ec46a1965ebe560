"""In-memory platform with injected faults, for tests that use no sockets."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import define, evolve, field
from returns.result import Failure, Result, Success

from sequoiadrum.platform_client import (
    PlatformClient,
    PlatformFailure,
    StoredObject,
    version_in,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


@define(eq=False)
class FakePlatform(PlatformClient):
    """Object store whose writes may lose their response or take effect late."""

    rng: random.Random = field(factory=lambda: random.Random(1))
    lose_before: float = 0.0
    """Probability (0 to 1) that a write is lost before it takes effect."""
    lose_after: float = 0.0
    """Probability (0 to 1) that the response of a write is lost after it took effect."""
    delay_lost: float = 0.0
    """Probability (0 to 1) that a lost write is queued to take effect during a later write."""
    down: bool = False
    before_put: Callable[[], None] | None = None
    """Called once, before the next write; None: no call."""
    objects: dict[str, StoredObject] = field(factory=dict)
    reads: int = 0
    epoch: int = 0
    """Number of restores from a copy."""
    _delayed_writes: list[tuple[str, bytes, int]] = field(factory=list)
    _version: int = 0

    def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        if self.down:
            return Failure(PlatformFailure.UNREACHABLE)
        self.reads += 1
        found = self.objects.get(name)
        return Failure(PlatformFailure.NOT_FOUND) if found is None else Success(self._shown(found))

    def put(
        self, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, PlatformFailure]:
        hook, self.before_put = self.before_put, None
        if hook is not None:
            hook()
        if self.down:
            return Failure(PlatformFailure.UNREACHABLE)
        if self._delayed_writes and self.rng.random() < 0.5:
            self._store(*self._delayed_writes.pop())
        if self.rng.random() < self.lose_before:
            if self.rng.random() < self.delay_lost:
                self._delayed_writes.append((name, value, expected_version))
            return Failure(PlatformFailure.UNKNOWN)
        stored = self._store(name, value, expected_version)
        if self.rng.random() < self.lose_after:
            return Failure(PlatformFailure.UNKNOWN)
        return Failure(PlatformFailure.CONFLICT) if stored is None else Success(stored)

    def copy(self) -> tuple[int, dict[str, StoredObject]]:
        """Returns a copy of the state, to which `restore` goes back."""
        return self._version, dict(self.objects)

    def restore(self, copy: tuple[int, dict[str, StoredObject]]) -> None:
        """Goes back to a copy; what was written since is lost, and its revisions are reused."""
        self.epoch += 1
        self._version, objects = copy
        self.objects = dict(objects)

    def version_of(self, name: str) -> int:
        """Returns the version of an object, 0 if it does not exist."""
        found = self.objects.get(name)
        return self._shown(found).version if found else 0

    def _shown(self, found: StoredObject) -> StoredObject:
        return evolve(found, version=version_in(self.epoch, found.version))

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformFailure]:
        self.objects.pop(name, None)
        return Success(None)

    def list_names(self, prefix: str) -> Result[Sequence[tuple[str, int]], PlatformFailure]:
        names = [name for name in self.objects if name.startswith(prefix)]
        return Success([(name, self.version_of(name)) for name in names])

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
        return self._shown(self.objects[name])
