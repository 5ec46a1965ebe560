"""Entry point that runs a gateway on the platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from sequoiadrum.gateway.app import Adapter, Gateway
from sequoiadrum.gateway.ports import DocumentDecoder
from sequoiadrum.messages import Address
from sequoiadrum.platform import documents
from sequoiadrum.platform.directory_codec import PlatformDirectoryCodec
from sequoiadrum.platform.early_listeners import PATH_VARIABLE
from sequoiadrum.platform.headers import PlatformHeaderCodec
from sequoiadrum.platform.node_settings import load_settings
from sequoiadrum.platform.store_client import HttpStore

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

EXIT_USAGE: Final = 2


class PlatformDocumentDecoder(DocumentDecoder):
    """Names and decodes the platform's store objects."""

    config_kind = documents.CONFIG_KIND
    config_name = documents.CONFIG_NAME
    endpoint_kind = documents.ENDPOINT_KIND
    evacuation_kind = documents.EVACUATION_KIND
    decode_config = staticmethod(documents.decode_config)
    decode_endpoint = staticmethod(documents.decode_endpoint)


def main(listeners: Mapping[tuple[str, int], socket.socket]) -> int:
    """Runs a gateway with the settings file that `PATH_VARIABLE` names.

    Args:
        listeners: Listening sockets that are open already, by host and port.

    Returns:
        The exit status; `EXIT_USAGE` if the settings are missing or invalid.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        sys.stderr.write(f"sequoiadrum: {PATH_VARIABLE} does not name a settings file\n")
        return EXIT_USAGE
    loaded = load_settings(Path(path))
    if isinstance(loaded, Failure):
        problem = loaded.failure()
        sys.stderr.write(f"sequoiadrum: settings file {problem.path}: {problem.detail}\n")
        return EXIT_USAGE
    settings = loaded.unwrap()
    problems = settings.problems()
    for text in problems:
        sys.stderr.write(f"sequoiadrum: settings: {text}\n")
    if problems:
        return EXIT_USAGE
    adapter = Adapter(
        header_codec=PlatformHeaderCodec(),
        directory=PlatformDirectoryCodec(),
        documents=PlatformDocumentDecoder(),
        store=lambda metrics: HttpStore(settings.store, metrics),
        load_settings=lambda: load_settings(Path(path)).alt(lambda problem: problem.detail),
    )
    opened = {Address(host, port): opened for (host, port), opened in listeners.items()}
    return Gateway(settings, adapter, listeners=opened).run()
