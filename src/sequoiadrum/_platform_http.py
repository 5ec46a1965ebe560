"""HTTP client of the platform's object store.

`GET /objects/NAME` returns the value, with its version in `ETag`; `PUT` and `DELETE` send the
expected version in `If-Match`; `GET /watch/NAME?version=V&timeout_ms=T` waits until the version
differs from V (status 204 if it did not within T); `GET /list?prefix=P` and `GET /instances`
return JSON.
"""

from __future__ import annotations

import json
from http.client import HTTPException
from typing import TYPE_CHECKING, Final
from urllib.parse import quote

from returns.result import Failure, Result, Success

from sequoiadrum._http_pool import HttpPool, read_framed_body
from sequoiadrum.platform_client import (
    ListedInstance,
    PlatformClient,
    PlatformFailure,
    StoredObject,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics

_FAILURES_BY_STATUS: Final = {
    404: PlatformFailure.NOT_FOUND,
    412: PlatformFailure.CONFLICT,
    413: PlatformFailure.TOO_LARGE,
    429: PlatformFailure.RATE_LIMITED,
    503: PlatformFailure.UNREACHABLE,
}


class HttpPlatformClient(PlatformClient):
    """Calls the platform over persistent HTTP connections and counts calls and failures."""

    def __init__(self, address: Address, metrics: Metrics, timeout_s: float) -> None:
        self._address = address
        self._metrics = metrics
        self._timeout_s = timeout_s
        self._pool = HttpPool(timeout_s)

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def get(self, name: str) -> Result[StoredObject, PlatformFailure]:
        """See `PlatformClient.get`."""
        return self._call_for_object("GET", f"/objects/{quote(name)}", name)

    def put(
        self, name: str, value: bytes, expected_version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """See `PlatformClient.put`."""
        return self._call_for_object(
            "PUT", f"/objects/{quote(name)}", name, value, expected_version
        )

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformFailure]:
        """See `PlatformClient.delete`."""
        result = self._call("DELETE", f"/objects/{quote(name)}", None, expected_version)
        return result.map(lambda _: None)

    def list_names(self, prefix: str) -> Result[Sequence[tuple[str, int]], PlatformFailure]:
        """See `PlatformClient.list_names`."""
        result = self._call("GET", f"/list?prefix={quote(prefix)}")
        return result.map(lambda r: [(e["name"], e["version"]) for e in json.loads(r[2])])

    def watch(
        self, name: str, known_version: int, timeout_s: float
    ) -> Result[StoredObject | None, PlatformFailure]:
        """See `PlatformClient.watch`."""
        path = f"/watch/{quote(name)}?version={known_version}&timeout_ms={int(timeout_s * 1e3)}"
        result = self._call("GET", path, timeout_s=timeout_s + self._timeout_s)
        return result.map(lambda r: None if r[0] == 204 else StoredObject(name, r[1], r[2]))

    def list_instances(self) -> Result[Sequence[ListedInstance], PlatformFailure]:
        """See `PlatformClient.list_instances`."""
        result = self._call("GET", "/instances")
        return result.map(lambda r: [ListedInstance(**entry) for entry in json.loads(r[2])])

    def _call_for_object(
        self,
        method: str,
        path: str,
        name: str,
        value: bytes | None = None,
        expected_version: int | None = None,
    ) -> Result[StoredObject, PlatformFailure]:
        result = self._call(method, path, value, expected_version)
        return result.map(lambda r: StoredObject(name, r[1], r[2] if value is None else value))

    def _call(
        self,
        method: str,
        path: str,
        value: bytes | None = None,
        expected_version: int | None = None,
        timeout_s: float | None = None,
    ) -> Result[tuple[int, int, bytes], PlatformFailure]:
        """Sends a request; returns status, version and body of a 2xx response."""
        resource = path.split("/", 2)[1].split("?")[0]
        self._metrics.count("platform_calls_total", call=f"{method.lower()}_{resource}")
        result = self._exchange(method, path, value, expected_version, timeout_s)
        if isinstance(result, Failure):
            self._metrics.count("platform_failures_total", reason=result.failure().value)
        return result

    def _exchange(
        self,
        method: str,
        path: str,
        value: bytes | None,
        expected_version: int | None,
        timeout_s: float | None,
    ) -> Result[tuple[int, int, bytes], PlatformFailure]:
        headers = {} if expected_version is None else {"If-Match": f'"{expected_version}"'}
        try:
            connection = self._pool.acquire_connection(self._address, timeout_s)
        except OSError:
            return Failure(PlatformFailure.UNREACHABLE)
        try:
            connection.request(method, path, body=value, headers=headers)
            response = connection.getresponse()
            body = read_framed_body(response)
            version = int((response.getheader("ETag") or '"0"').strip('"'))
        except (OSError, HTTPException, ValueError):
            connection.close()
            return Failure(PlatformFailure.UNKNOWN)
        self._pool.release_connection(self._address, connection, response)
        if response.status >= 300:
            return Failure(_FAILURES_BY_STATUS.get(response.status, PlatformFailure.UNKNOWN))
        return Success((response.status, version, body))
