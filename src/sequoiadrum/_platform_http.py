"""HTTP client of the platform's object store.

`GET /objects/NAME` returns the value, with its revision in `ETag`; `PUT` and `DELETE` send the
expected revision in `If-Match`; `GET /watch/NAME?version=V&epoch=E&timeout_ms=T` waits until the
revision differs from V (status 204 if it did not within T); `GET /list?prefix=P` and
`GET /instances` return JSON.

Each response has the epoch of the platform in `Platform-Epoch`, 0 if it is missing. It rises by one
each time that the platform is restored from a copy. `PUT` and `DELETE` that expect a revision send
the epoch in which it was read in `If-Platform-Epoch`; in another one they have no effect (status
412). A watch in another epoch returns at once.
"""

from __future__ import annotations

import json
from http.client import HTTPException
from typing import TYPE_CHECKING, Final
from urllib.parse import quote

from attrs import frozen
from returns.result import Failure, Result, Success

from sequoiadrum._http_pool import HttpPool, read_framed_body
from sequoiadrum.platform_client import (
    ListedInstance,
    PlatformClient,
    PlatformFailure,
    StoredObject,
    epoch_and_revision,
    version_in,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics

EPOCH_HEADER: Final = "Platform-Epoch"
EXPECTED_EPOCH_HEADER: Final = "If-Platform-Epoch"
_FAILURES_BY_STATUS: Final = {
    404: PlatformFailure.NOT_FOUND,
    412: PlatformFailure.CONFLICT,
    413: PlatformFailure.TOO_LARGE,
    429: PlatformFailure.RATE_LIMITED,
    503: PlatformFailure.UNREACHABLE,
}


@frozen
class _Response:
    """A response with status 2xx."""

    status: int
    epoch: int
    revision: int
    body: bytes

    @property
    def version(self) -> int:
        """Version of the object that the response names; 0 for none."""
        return version_in(self.epoch, self.revision)


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
        return result.map(
            lambda r: [
                (entry["name"], version_in(r.epoch, entry["version"]))
                for entry in json.loads(r.body)
            ]
        )

    def watch(
        self, name: str, known_version: int, timeout_s: float
    ) -> Result[StoredObject | None, PlatformFailure]:
        """See `PlatformClient.watch`."""
        epoch, revision = epoch_and_revision(known_version)
        query = f"version={revision}&epoch={epoch}&timeout_ms={int(timeout_s * 1e3)}"
        path = f"/watch/{quote(name)}?{query}"
        result = self._call("GET", path, timeout_s=timeout_s + self._timeout_s)
        return result.map(
            lambda r: None if r.status == 204 else StoredObject(name, r.version, r.body)
        )

    def list_instances(self) -> Result[Sequence[ListedInstance], PlatformFailure]:
        """See `PlatformClient.list_instances`."""
        result = self._call("GET", "/instances")
        return result.map(lambda r: [ListedInstance(**entry) for entry in json.loads(r.body)])

    def _call_for_object(
        self,
        method: str,
        path: str,
        name: str,
        value: bytes | None = None,
        expected_version: int | None = None,
    ) -> Result[StoredObject, PlatformFailure]:
        result = self._call(method, path, value, expected_version)
        return result.map(
            lambda r: StoredObject(name, r.version, r.body if value is None else value)
        )

    def _call(
        self,
        method: str,
        path: str,
        value: bytes | None = None,
        expected_version: int | None = None,
        timeout_s: float | None = None,
    ) -> Result[_Response, PlatformFailure]:
        """Sends a request; returns a 2xx response."""
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
    ) -> Result[_Response, PlatformFailure]:
        headers = {} if expected_version is None else _conditions(expected_version)
        try:
            connection = self._pool.acquire_connection(self._address, timeout_s)
        except OSError:
            return Failure(PlatformFailure.UNREACHABLE)
        try:
            connection.request(method, path, body=value, headers=headers)
            response = connection.getresponse()
            body = read_framed_body(response)
            revision = int((response.getheader("ETag") or '"0"').strip('"'))
            epoch = int(response.getheader(EPOCH_HEADER) or "0")
        except (OSError, HTTPException, ValueError):
            connection.close()
            return Failure(PlatformFailure.UNKNOWN)
        self._pool.release_connection(self._address, connection, response)
        if response.status >= 300:
            return Failure(_FAILURES_BY_STATUS.get(response.status, PlatformFailure.UNKNOWN))
        return Success(_Response(response.status, epoch, revision, body))


def _conditions(expected_version: int) -> dict[str, str]:
    """Returns the headers of a write that expects a version."""
    epoch, revision = epoch_and_revision(expected_version)
    headers = {"If-Match": f'"{revision}"'}
    if revision:
        headers[EXPECTED_EPOCH_HEADER] = str(epoch)
    return headers
