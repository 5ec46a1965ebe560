"""The platform's format of address queries and their responses."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs

from sequoiadrum.gateway.ports import AddressQuery, DirectoryCodec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiadrum.messages import Address

DIRECTORY_PATH: Final = "/resolve"
READINESS_PATH: Final = "/ready"


class PlatformDirectoryCodec(DirectoryCodec):
    """Decodes the queries of `GET /resolve` and encodes their responses."""

    directory_path = DIRECTORY_PATH
    readiness_path = READINESS_PATH

    def decode_query(self, query: str) -> AddressQuery:
        """See `DirectoryCodec.decode_query`."""
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        return AddressQuery(
            host=fields.get("name", ""),
            region=fields.get("region", ""),
            failure_domain=fields.get("zone", ""),
        )

    def encode_response(self, addresses: Sequence[Address], lifetime_s: float) -> bytes:
        """See `DirectoryCodec.encode_response`."""
        return json.dumps(
            {"addresses": [f"{a.host}:{a.port}" for a in addresses], "ttl_s": lifetime_s}
        ).encode()
