"""The platform's form of questions and answers about addresses."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs

from sequoiadrum.gateway.ports import AddressQuestion, DirectoryWire

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.messages import Address

DIRECTORY_PATH: Final = "/resolve"
READINESS_PATH: Final = "/ready"


class PlatformDirectoryWire(DirectoryWire):
    """Translates `GET /resolve`."""

    directory_path = DIRECTORY_PATH
    readiness_path = READINESS_PATH

    def decode_question(self, query: str) -> AddressQuestion:
        """See `DirectoryWire.decode_question`."""
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        return AddressQuestion(
            host=fields.get("name", ""),
            region=fields.get("region", ""),
            failure_domain=fields.get("zone", ""),
        )

    def encode_answer(self, addresses: Sequence[Address], lifetime_s: float) -> bytes:
        """See `DirectoryWire.encode_answer`."""
        return json.dumps(
            {"addresses": [f"{a.host}:{a.port}" for a in addresses], "ttl_s": lifetime_s}
        ).encode()
