"""Server of the calls between routers, `schema/peer.thrift`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

from sequoiadrum._gen.peer import Peer
from sequoiadrum._thrift_transport import COMPACT
from sequoiadrum.thrift_server import ThriftServer

if TYPE_CHECKING:
    import socket

    from sequoiadrum._gen.peer.ttypes import (
        AcquireReply,
        AcquireRequest,
        ConfigUpdate,
        HeldGrant,
        KeyedReply,
        KeyedRequest,
        LimitLease,
        MemberReport,
        PoolReport,
        Release,
        Rumor,
    )
    from sequoiadrum.messages import Address
    from sequoiadrum.metrics import Metrics

MAX_PEER_CONNECTIONS: Final = 256


@frozen
class PeerHandler:
    """Delegates each call of `schema/peer.thrift` to the component that handles it."""

    membership: Any
    """Handles `sync_members` and `list_rumors`."""
    admission: Any
    """Handles the calls on grants (`acquire` to `confirm_grants`) and on pools."""
    config: Any
    """Handles `fetch_config`."""
    keyed: Any
    """Handles `submit_keyed`, `keyed_status` and `record_outcome`."""
    limits: Any
    """Handles `lease_tokens`."""

    def sync_members(self, members: list[MemberReport]) -> list[MemberReport]:
        """Merges the complete member list of a peer; returns the merged list."""
        return self.membership.sync_members(members)

    def list_rumors(self) -> list[Rumor]:
        """Returns the rumors in force."""
        return self.membership.list_rumors()

    def acquire(self, request: AcquireRequest) -> AcquireReply:
        """Requests a grant from a pool that is owned here."""
        return self.admission.acquire_for_peer(request)

    def release(self, pool: str, releases: list[Release]) -> None:
        """Releases grants."""
        self.admission.release_for_peer(pool, releases)

    def report_grants(
        self, pool: str, router_id: str, router_process_id: int, grants: list[HeldGrant]
    ) -> None:
        """Records the grants that a router still holds after a change of the pool owner."""
        self.admission.report_grants(pool, router_id, router_process_id, grants)

    def confirm_grants(
        self, pool: str, router_id: str, router_process_id: int, grant_ids: list[int]
    ) -> list[int]:
        """Checks the ids of all grants of a pool that a router holds; returns the unknown ones."""
        return self.admission.confirm_grants(pool, router_id, router_process_id, grant_ids)

    def inspect_pool(self, pool: str, endpoint_id: str, max_chats: int) -> PoolReport:
        """Returns the loads of a pool that is owned here."""
        return self.admission.inspect_pool(pool, endpoint_id, max_chats)

    def note_moved(self, pool: str, source_id: str, target_by_chat: dict[str, str]) -> None:
        """Records the endpoints to which a plan has moved the contexts of chats."""
        self.admission.note_moved(pool, source_id, target_by_chat)

    def fetch_config(self, since_revision: int) -> ConfigUpdate:
        """Returns the configuration changes after a revision."""
        return self.config.fetch_config(since_revision)

    def submit_keyed(self, request: KeyedRequest) -> KeyedReply:
        """Runs a keyed call whose ledger shard is held here."""
        return self.keyed.submit_keyed(request)

    def keyed_status(
        self,
        service_name: str,
        account: str,
        key: str,
        issued_at_ms: int,
        cancel: bool,
        attempt_id: str,
    ) -> KeyedReply:
        """Returns the known state of a key; with `cancel`, prevents its dispatch."""
        return self.keyed.keyed_status(service_name, account, key, issued_at_ms, cancel, attempt_id)

    def record_outcome(
        self, service_name: str, account: str, key: str, attempt_id: str, outcome: KeyedReply
    ) -> None:
        """Records the late outcome of an attempt by a former shard owner."""
        self.keyed.record_outcome(service_name, account, key, attempt_id, outcome)

    def lease_tokens(self, account: str, wanted: int, router_id: str) -> LimitLease:
        """Leases tokens of an account's limit to a router."""
        return self.limits.lease_tokens(account, wanted, router_id)


def create_peer_server(
    address: Address,
    handler: PeerHandler,
    metrics: Metrics,
    listener: socket.socket | None = None,
) -> ThriftServer:
    """Creates the peer server; binds its port, unless a listening socket is passed.

    Raises:
        OSError: The address is in use or not local.
    """
    return ThriftServer(
        "peer", address, Peer.Processor(handler), COMPACT, metrics, MAX_PEER_CONNECTIONS, listener
    )
