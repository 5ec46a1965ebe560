"""Callers that ask for addresses, keep them and their connections, and record their answers."""

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
from tools.soak.record import Answer, CallKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.messages import Address
    from tools.soak.record import Record

HOST: Final = "shop.example"
DEADLINE_S: Final = 3.0
"""How long callers wait for an answer."""
PAUSE_S: Final = 0.06
"""Between two requests of one caller."""
KEPT_LIVES: Final = 3
"""Some callers keep an answer about addresses for three times its life."""
LONGEST_STREAM: Final = 80
CHATS: Final = 40
"""Chats that return; each is a part that prompts share."""
_KINDS: Final = {CallKind.READ: 4, CallKind.ORDER: 4, CallKind.DRAFT: 2, CallKind.TAG: 2}


@define
class GatewayAddress:
    """Where one gateway is asked, and which of its processes is there."""

    name: str
    directory: Address
    process: int = 0


class Caller:
    """One client: a thread with a connection that it uses until it ends."""

    def __init__(
        self,
        number: int,
        seed: int,
        gateways: dict[str, GatewayAddress],
        key_version: Callable[[random.Random], int],
        record: Record,
    ) -> None:
        """Takes the gateways by host, and what chooses the version of the key to use."""
        self._rng = random.Random(f"{seed}-{number}")
        self._name = f"c{number}"
        self._gateways = gateways
        self._key_version = key_version
        self._record = record
        self._lives = self._rng.choice((1, KEPT_LIVES))
        self._addresses: list[Address] = []
        self._valid_until = 0.0
        self._failed: set[str] = set()
        """Hosts that failed since the last answer about addresses."""
        self._connection: http.client.HTTPConnection | None = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begins to call."""
        self._thread.start()

    def stop(self) -> None:
        """Ends after the request in work."""
        self._stopped.set()

    def join(self) -> None:
        """Waits for the end."""
        self._thread.join(2 * DEADLINE_S)

    def _run(self) -> None:
        number = 0
        while not self._stopped.wait(self._rng.uniform(0, 2 * PAUSE_S)):
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
                self._valid_until = time.monotonic() + self._lives * float(document["ttl_s"])
                return
            except (OSError, http.client.HTTPException, ValueError, KeyError):
                continue
            finally:
                connection.close()

    def _call(self, request_id: str) -> None:
        kind = self._rng.choices(list(_KINDS), list(_KINDS.values()))[0]
        count = self._rng.choice((3, 10, LONGEST_STREAM)) if kind.is_stream else 0
        key = self._key_version(self._rng)
        connection, gateway = self._connect()
        process, sent_at = gateway.process, time.monotonic()
        status, sealed, complete, body, error = None, False, False, b"", ""
        try:
            headers = {
                "Host": HOST,
                REQUEST_ID: request_id,
                DEADLINE_MS: str(int(DEADLINE_S * 1e3)),
                API_KEY: f"k{key}",
            }
            if kind.is_stream:
                chat = self._rng.randrange(CHATS)
                headers[PROMPT_PARTS] = f"5a:400,{chat:x}:300,{number_of(request_id):x}:50"
                headers[TOKEN_COUNTS] = f"750,{count}"
            connection.request("POST", f"/{kind.value}/{count}", b"hello", headers)
            response = connection.getresponse()
            status, sealed = response.status, response.getheader(SEAL) is not None
            body, complete = _read(response)
            if not complete or response.will_close:
                self._drop()
        except (OSError, http.client.HTTPException) as failure:
            error = type(failure).__name__
            self._failed.add(connection.host)
            self._drop()
        self._record.add_answer(
            Answer(
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
                body,
                _event_numbers(body) if kind.is_stream else (),
                count,
                error,
            )
        )

    def _connect(self) -> tuple[http.client.HTTPConnection, GatewayAddress]:
        connection = self._connection
        if connection is None or connection.host not in {a.host for a in self._addresses}:
            self._drop()
            others = [a for a in self._addresses if a.host not in self._failed]
            address = self._rng.choice(others or self._addresses)
            connection = http.client.HTTPConnection(
                address.host, address.port, timeout=DEADLINE_S + 1
            )
            self._connection = connection
        return connection, self._gateways[connection.host]

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def number_of(request_id: str) -> int:
    """Gives a number that stands for the part of a prompt that is a request's own."""
    return zlib.crc32(request_id.encode())


def _read(response: http.client.HTTPResponse) -> tuple[bytes, bool]:
    """Reads what comes of an answer, and tells whether it came whole."""
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
    whole = body.split(b"\n\n")[:-1]
    return tuple(int(e[4:].split(b"\n")[0]) for e in whole if e.startswith(b"id: "))
