"""Tests of the operator interface with invalid, malformed and failing calls."""

from __future__ import annotations

import random
import socket
import struct
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from sequoiadrum._gen.operator import Operator, ttypes
from sequoiadrum._operator_codec import MAX_VALUE_BYTES
from sequoiadrum.errors import Refusal, RefusalReason
from tests.operator_world import OperatorTestCase

ACCOUNT = ttypes.ObjectKind.ACCOUNT
ENDPOINT = ttypes.ObjectKind.ENDPOINT


class OperatorServerTest(OperatorTestCase):
    """Calls the operator server over a real connection."""

    def setUp(self) -> None:
        super().setUp()
        self.transport = TFramedTransport(TSocket("127.0.0.1", self.server.port))
        self.transport.open()
        self.addCleanup(self.transport.close)
        self.client = Operator.Client(TBinaryProtocol(self.transport))

    def put(self, kind: Any, name: Any, value: Any, version: Any = -1, change: Any = "c") -> Any:
        wire = ttypes.ConfigObject(kind, name, 0, value, "")
        return self.client.put_object(wire, version, change)

    def test_bad_input_is_refused(self) -> None:
        """Guards against bad input that is logged as an error or changes the configuration."""
        before = self.world.config.state
        port = '{"pool": "p", "kind": "engine", "host": "127.0.0.1", "port": 1e999}'
        models = '{"pool": "p", "kind": "engine", "host": "h", "port": 1, "models": "m"}'
        cases = [
            (99, "a", "{}", -1, "c"),
            (None, "a", "{}", -1, "c"),
            (ACCOUNT, None, "{}", -1, "c"),
            (ACCOUNT, "", "{}", -1, "c"),
            (ACCOUNT, "a\nb", "{}", -1, "c"),
            (ACCOUNT, "a/b", "{}", -1, "c"),
            (ACCOUNT, "a" * 300, "{}", -1, "c"),
            (ACCOUNT, "a", None, -1, "c"),
            (ACCOUNT, "a", "{", -1, "c"),
            (ACCOUNT, "a", "[]", -1, "c"),
            (ACCOUNT, "a", "[" * 10_000, -1, "c"),
            (ACCOUNT, "a", '{"burst": NaN}', -1, "c"),
            (ACCOUNT, "a", '{"burst": -1}', -1, "c"),
            (ACCOUNT, "a", '{"burst": "%s"}' % ("x" * MAX_VALUE_BYTES), -1, "c"),
            (ENDPOINT, "e9", port, -1, "c"),
            (ENDPOINT, "e9", models, -1, "c"),
            (ttypes.ObjectKind.SETTING, "no_such", "{}", -1, "c"),
            (ACCOUNT, "a", "{}", -2, "c"),
            (ACCOUNT, "a", "{}", None, "c"),
            (ACCOUNT, "a", "{}", -1, ""),
            (ACCOUNT, "a", "{}", -1, None),
        ]
        with self.assertNoLogs():
            for case in cases:
                with self.subTest(case=str(case)[:80]):
                    self.assertRaises(ttypes.Refused, self.put, *case)
            self.assertRaises(ttypes.Refused, self.client.put_object, None, -1, "c")
            self.assertRaises(ttypes.Refused, self.client.list_objects, ACCOUNT, "", 0)
            self.assertRaises(ttypes.Refused, self.client.config_status, -1)
            self.assertRaises(ttypes.Refused, self.client.pool_status, "")
            self.assertRaises(ttypes.Refused, self.client.get_plan, "no/such plan")
        self.assertIs(self.world.config.state, before)
        self.assertEqual(self.outcomes("put_object"), {"refused": len(cases) + 1})

    def test_wrong_wire_types_are_refused(self) -> None:
        """Guards against errors other than a refusal for arguments with types not in the schema."""
        protocol = TBinaryProtocol(self.transport)
        protocol.writeMessageBegin("put_object", TMessageType.CALL, 1)
        protocol.writeFieldBegin("object", TType.STRING, 1)
        protocol.writeString("not a structure")
        protocol.writeFieldBegin("expected_version", TType.STRING, 2)
        protocol.writeString("not a number")
        protocol.writeFieldStop()
        protocol.trans.flush()
        self.assertRaises(ttypes.Refused, self.client.recv_put_object)
        self.assertEqual(self.outcomes("put_object"), {"refused": 1})

    def test_garbage_bytes_leave_the_server_working(self) -> None:
        """Guards against malformed bytes on one connection that stop the server or other calls."""
        source = random.Random(7)
        for number in range(60):
            garbage = source.randbytes(source.randrange(1, 200))
            if number % 2:
                garbage = struct.pack("!i", len(garbage)) + garbage
            with socket.create_connection(("127.0.0.1", self.server.port), 10) as connection:
                connection.sendall(garbage)
                # The server may reset a connection that has unread bytes.
                try:
                    connection.shutdown(socket.SHUT_WR)
                    while connection.recv(4096):
                        pass
                except OSError as error:
                    self.assertNotIsInstance(error, TimeoutError)
        self.assertEqual(len(self.client.fleet_status()), 2)

    def test_configuration_outcomes_are_typed(self) -> None:
        """Guards against a conflict, an outage or a lost response reported as another outcome."""
        with self.assertRaises(ttypes.Conflict) as conflict:
            self.put(ACCOUNT, "acme", "{}", 1)
        self.assertEqual(conflict.exception.found_version, 4)
        self.world.config.outage = True
        self.assertRaises(ttypes.Unavailable, self.put, ACCOUNT, "acme", "{}")
        self.world.config.outage = False
        self.world.config.lose_next = True
        with self.assertRaises(ttypes.UnknownOutcome) as unknown:
            self.put(ACCOUNT, "acme", "{}", -1, "lost-change")
        self.assertEqual(unknown.exception.change_id, "lost-change")
        self.assertEqual(self.client.find_change(ACCOUNT, "acme", "lost-change").version, 5)
        self.world.config.submit = lambda request: 1 / 0  # type: ignore[method-assign]
        with self.assertNoLogs():
            self.assertRaises(ttypes.UnknownOutcome, self.put, ACCOUNT, "acme", "{}")
        expected = {"conflict": 1, "unavailable": 1, "unknown": 1, "error": 1}
        self.assertEqual(self.outcomes("put_object"), expected)

    def test_unready_router_is_unavailable(self) -> None:
        """Guards against an empty reply from a router that has not loaded its configuration."""
        self.world.config.not_ready = Refusal(RefusalReason.NOT_READY, "", 500)
        self.assertRaises(ttypes.Unavailable, self.client.get_object, ACCOUNT, "acme")
        self.assertRaises(ttypes.Unavailable, self.client.list_objects, ACCOUNT, "", 10)

    def test_plan_outcomes_are_typed(self) -> None:
        """Guards against plans created twice, invalid plans and a lost response that is hidden."""
        create = self.client.create_plan
        for wrong in (
            ("p1", "fly", "e1", ""),
            ("p 1", "drain", "e1", ""),
            ("p1", "drain", "e9", ""),
            ("p1", "drain", "e1", "e2"),
            ("p1", "move", "e1", ""),
            ("p1", "move", "e1", "e1"),
            ("p1", "move", "e1", "s1"),
            (None, None, None, None),
        ):
            self.assertRaises(ttypes.Refused, create, *wrong)
        self.assertEqual(create("p1", "move", "e1", "e2").state, "running")
        self.assertEqual(create("p1", "move", "e1", "e2").id, "p1")
        self.assertRaises(ttypes.Conflict, create, "p1", "drain", "e1", "")
        self.world.platform.lost_puts = {self.world.platform.puts + 1: True}
        self.assertEqual(create("p2", "drain", "e1", "").id, "p2")
        self.world.platform.lost_puts = {self.world.platform.puts + 1: False}
        self.assertRaises(ttypes.UnknownOutcome, create, "p3", "drain", "e1", "")
        self.assertEqual(self.client.abort_plan("p1").state, "undoing")
        self.assertEqual(self.client.abort_plan("p1").state, "undoing")
        self.world.run("r1", "p2")
        self.assertRaises(ttypes.Refused, self.client.abort_plan, "p2")
        self.assertEqual({p.id for p in self.client.list_plans()}, {"p1", "p2"})
        self.world.platform.outage = True
        for call in (self.client.list_plans, lambda: create("p4", "drain", "e2", "")):
            self.assertRaises(ttypes.Unavailable, call)
        self.assertEqual(self.plan_listener.plan_ids, ["p1", "p2", "p1", "p1"])
