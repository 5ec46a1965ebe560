"""Callers that resolve gateway addresses, reuse connections and record the result of each call."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
import zlib
from typing import TYPE_CHECKING, Final

from attrs import define

from sequoiadrum.addressing import parse_address
from sequoiadrum.platform.directory_codec import DIRECTORY_PATH
from sequoiadrum.platform.headers import (
    API_KEY,
    DEADLINE_MS,
    PROMPT_PARTS,
    REQUEST_ID,
    SEAL,
    TOKEN_COUNTS,
)
from tools.soak.record import DEADLINE_S, CallKind, CallResult

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sequoiadrum.messages import Address
    from tools.soak.record import Record

HOST: Final = "shop.example"
MEAN_PAUSE_S: Final = 0.06
"""Mean pause between two requests of one caller."""
STALE_TTL_FACTOR: Final = 3
"""Some callers use resolved addresses for three times their TTL."""
MAX_STREAM_EVENTS: Final = 80
LONG_RATIO: Final = 0.3
"""Ratio of orders and streams that last nearly as long as their deadline permits."""
LONG_ORDER_S: Final = 2.6
UPLOADS_S: Final = (0.0, 0.5, 1.5)
"""Times that the body of a long order takes to be sent, in chunks; part of the order's time."""
LONG_STREAM_EVENTS: Final = 120
"""The events of a stream are 20 ms apart; reads are never long, as gateways try them elsewhere."""
CHAT_COUNT: Final = 40
"""Number of recurring chats; requests of one chat share a prompt part."""
_KIND_WEIGHTS: Final = {CallKind.READ: 4, CallKind.ORDER: 4, CallKind.DRAFT: 2, CallKind.TAG: 2}


@define
class GatewayAddress:
    """Directory address of one gateway, and the number of its current process."""

    name: str
    directory: Address
    process: int = 0


class Caller:
    """A thread that sends requests one after another.

    It keeps its connection until that ends or its host is no longer among the resolved addresses.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        gateways: dict[str, GatewayAddress],
        key_version: Callable[[random.Random], int],
        record: Record,
    ) -> None:
        """Creates the caller; `start` starts its thread.

        Args:
            number: Number of the caller; part of its name and of its random seed.
            seed: Seed of the soak.
            gateways: The gateways, by host.
            key_version: Chooses the configuration version whose API key a request uses.
            record: Receives the result of each call.
        """
        self._rng = random.Random(f"{seed}-{number}")
        # Drawn separately, so that the other requests of a seed stay as they were.
        self._long_rng = random.Random(f"long-{seed}-{number}")
        self._name = f"c{number}"
        self._gateways = gateways
        self._key_version = key_version
        self._record = record
        self._ttl_factor = self._rng.choice((1, STALE_TTL_FACTOR))
        self._addresses: list[Address] = []
        self._valid_until = 0.0
        self._failed: set[str] = set()
        """Hosts that failed since addresses were last resolved."""
        self._connection: http.client.HTTPConnection | None = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to send requests."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the caller after the request in flight; does not wait."""
        self._stopped.set()

    def join(self) -> None:
        """Waits until the thread has ended, for at most twice the deadline of a request."""
        self._thread.join(2 * DEADLINE_S)

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(self._rng.uniform(0, 2 * MEAN_PAUSE_S)):
            number += 1
            self._resolve()
            if self._addresses:
                self._call(f"{self._name}-{number}")

    def _resolve(self) -> None:
        if time.monotonic() < self._valid_until:
            return
        for gateway in self._rng.sample(list(self._gateways.values()), len(self._gateways)):
            directory = gateway.directory
            connection = http.client.HTTPConnection(directory.host, directory.port, timeout=1)
            try:
                connection.request("GET", f"{DIRECTORY_PATH}?name={HOST}&region=r&zone=z1")
                document = json.loads(connection.getresponse().read())
                self._addresses = [parse_address(text) for text in document["addresses"]]
                self._failed.clear()
                self._valid_until = time.monotonic() + self._ttl_factor * float(document["ttl_s"])
                return
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue
            finally:
                connection.close()

    def _call(self, request_id: str) -> None:
        kind = self._rng.choices(list(_KIND_WEIGHTS), list(_KIND_WEIGHTS.values()))[0]
        count = self._rng.choice((3, 10, MAX_STREAM_EVENTS)) if kind.is_stream else 0
        body: bytes | Iterator[bytes] = b"hello"
        if kind is not CallKind.READ and self._long_rng.random() < LONG_RATIO:
            if kind.is_stream:
                count = LONG_STREAM_EVENTS
            else:
                upload_s = self._long_rng.choice(UPLOADS_S)
                count = int((LONG_ORDER_S - upload_s) * 1e3)
                body = _slow_chunks(upload_s)
        key = self._key_version(self._rng)
        connection, gateway = self._connect()
        process, sent_at = gateway.process, time.monotonic()
        status, sealed, complete, data, error = None, False, False, b"", ""
        try:
            headers = {
                "Host": HOST,
                REQUEST_ID: request_id,
                DEADLINE_MS: str(int(DEADLINE_S * 1e3)),
                API_KEY: f"k{key}",
            }
            if kind.is_stream:
                chat = self._rng.randrange(CHAT_COUNT)
                headers[PROMPT_PARTS] = f"5a:400,{chat:x}:300,{unique_part_id(request_id):x}:50"
                headers[TOKEN_COUNTS] = f"750,{count}"
            connection.request("POST", f"/{kind.value}/{count}", body, headers)
            response = connection.getresponse()
            status, sealed = response.status, response.getheader(SEAL) is not None
            data, complete = _read_body(response)
            if not complete or response.will_close:
                self._close_connection()
        except (OSError, http.client.HTTPException) as exception:
            error = type(exception).__name__
            self._failed.add(connection.host)
            self._close_connection()
        self._record.add_result(
            CallResult(
                request_id,
                kind,
                gateway.name,
                process,
                key,
                sent_at,
                time.monotonic(),
                status,
                sealed,
                complete,
                data,
                _event_numbers(data) if kind.is_stream else (),
                count,
                error,
            )
        )

    def _connect(self) -> tuple[http.client.HTTPConnection, GatewayAddress]:
        connection = self._connection
        if connection is None or connection.host not in {a.host for a in self._addresses}:
            self._close_connection()
            not_failed = [a for a in self._addresses if a.host not in self._failed]
            address = self._rng.choice(not_failed or self._addresses)
            connection = http.client.HTTPConnection(
                address.host, address.port, timeout=DEADLINE_S + 1
            )
            self._connection = connection
        return connection, self._gateways[connection.host]

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def unique_part_id(request_id: str) -> int:
    """Returns an identifier for the prompt part that a request shares with no other."""
    return zlib.crc32(request_id.encode())


def _slow_chunks(upload_s: float) -> Iterator[bytes]:
    """Yields the chunks of a body; the last one comes after `upload_s` seconds."""
    yield b"hel"
    time.sleep(upload_s)
    yield b"lo"


def _read_body(response: http.client.HTTPResponse) -> tuple[bytes, bool]:
    """Returns the received part of a response body, and whether the body is complete."""
    body = b""
    try:
        if not response.chunked:
            return response.read(), True
        while data := response.read1(65_536):
            body += data
        response.read()
        return body, True
    except http.client.IncompleteRead as error:
        return body + error.partial, False
    except (OSError, http.client.HTTPException):
        return body, False


def _event_numbers(body: bytes) -> tuple[int, ...]:
    complete_events = body.split(b"\n\n")[:-1]
    return tuple(int(e[4:].split(b"\n")[0]) for e in complete_events if e.startswith(b"id: "))
