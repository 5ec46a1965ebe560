"""The services of a router for operators: the operator interface and the plan task."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sequoiadrum.messages import Address
from sequoiadrum.operator_server import OperatorParts, create_operator_server
from sequoiadrum.plan_task import PlanTask

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.plan_driver import DriverParts
    from sequoiadrum.settings import Settings
    from sequoiadrum.timers import TimerService


class OperatorServices:
    """Starts and stops the operator server and the plan task of a router."""

    def __init__(
        self,
        settings: Settings,
        parts: DriverParts,
        process_id: int,
        on_invariant: Callable[[], None],
    ) -> None:
        """Binds the operator port.

        Raises:
            OSError: The address is in use or not local.
        """
        self.plans: Final = PlanTask(parts, settings, process_id, on_invariant)
        self.server: Final = create_operator_server(
            Address(settings.host, settings.operator_port),
            OperatorParts(
                parts.config,
                parts.writer,
                parts.membership,
                parts.inspector,
                parts.store,
                self.plans,
                parts.metrics,
            ),
        )

    def start(self, timers: TimerService) -> None:
        """Starts the plan task, then the server, so that calls find a running plan task."""
        self.plans.start()
        self.plans.subscribe_timers(timers)
        self.server.start()

    def stop(self) -> None:
        """Closes the operator connections, then stops the plan task, which releases its leases."""
        self.server.stop()
        self.plans.stop()
