"""The command that asks a running router where a described request would go now."""

from __future__ import annotations

import json
import sys
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Annotated, Any, Final
from urllib.parse import urlencode

import cappa
from attrs import define

from sequoiadrum._cli_values import number_option, report_wrong_values
from sequoiadrum.addressing import parse_address
from sequoiadrum.gateway.where import parse_description, parse_prompt, text_of
from sequoiadrum.settings import SettingError

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
"""The router would refuse the request."""
EXIT_USAGE: Final = 2
EXIT_UNAVAILABLE: Final = 5
"""The router did not answer."""
TIMEOUT_S: Final = 5.0
MAX_ANSWER_BYTES: Final = 16_000_000
WHERE_PATH: Final = "/where"


@cappa.command(name="where", help="Show where a request would go now, and why; sends nothing.")
@define
class Where:
    """Asks a running gateway where a described request would go."""

    router: Annotated[str, cappa.Arg(help="Metrics address of a gateway, IP:PORT")]
    request_host: Annotated[str, cappa.Arg(help="Host of the request")]
    path: Annotated[str, cappa.Arg(help="Path of the request")]
    account: Annotated[
        str, cappa.Arg(long="--account", default="", help="Account that sends it")
    ] = ""
    prompt: Annotated[
        str, cappa.Arg(long="--prompt", default="", help="Prompt parts, ID:TOKENS,...")
    ] = ""
    output_tokens: Annotated[
        int, number_option("output_tokens", "Maximum number of tokens to generate", 0)
    ] = 0
    priority: Annotated[
        int, number_option("priority", "Priority, 0 to 9; -1 for that of account or route", -1)
    ] = -1
    request: Annotated[
        str, cappa.Arg(long="--request", default="", help="Request id; decides draws")
    ] = ""
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> int:
        """Prints the answer; the exit status says whether the request would be sent."""
        if report_wrong_values(self):
            return EXIT_USAGE
        try:
            parse_prompt(self.prompt)
        except ValueError:
            wrong = SettingError("--prompt", self.prompt, "a list of ID:TOKENS")
            return _fail(EXIT_USAGE, str(wrong))
        query = self._query()
        problem = parse_description(query).swap().value_or("")
        if problem:
            return _fail(EXIT_USAGE, str(problem))
        try:
            address = parse_address(self.router)
        except ValueError as error:
            return _fail(EXIT_USAGE, f"router: expected IP:PORT: {error}")
        connection = HTTPConnection(address.host, address.port, timeout=TIMEOUT_S)
        try:
            connection.request("GET", f"{WHERE_PATH}?{query}")
            response = connection.getresponse()
            body = response.read(MAX_ANSWER_BYTES)
        except (OSError, HTTPException) as error:
            return _fail(EXIT_UNAVAILABLE, f"router {self.router} did not answer: {error}")
        finally:
            connection.close()
        if response.status == HTTPStatus.BAD_REQUEST:
            return _fail(EXIT_USAGE, body.decode("utf-8", "replace").strip())
        return self._print(response.status, body)

    def _query(self) -> str:
        fields = {
            "host": self.request_host,
            "path": self.path,
            "account": self.account,
            "prompt": self.prompt,
            "output_tokens": str(self.output_tokens),
            "priority": str(self.priority) if self.priority >= 0 else "",
            "request": self.request,
        }
        return urlencode({name: value for name, value in fields.items() if value})

    def _print(self, status: int, body: bytes) -> int:
        try:
            answer: dict[str, Any] = json.loads(body)
            text = text_of(answer)
        except (ValueError, KeyError, TypeError):
            return _fail(EXIT_UNAVAILABLE, f"router {self.router} has no such query ({status})")
        sys.stdout.write(json.dumps(answer, indent=2) + "\n" if self.json else text)
        return EXIT_OK if answer["endpoint"] is not None else EXIT_REFUSED


def _fail(status: int, text: str) -> int:
    sys.stderr.write(f"sequoiadrum: {text}\n")
    return status
