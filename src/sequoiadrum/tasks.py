"""Tasks: threads that own their state and communicate by messages."""

from __future__ import annotations

import queue
from abc import ABC, abstractmethod
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any, ClassVar, Final, Generic, TypeVar

from attrs import define, field

from sequoiadrum.errors import InvariantError
from sequoiadrum.logs import get_logger
from sequoiadrum.supervised_thread import SupervisedThread

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiadrum.metrics import Metrics

T = TypeVar("T")

MAILBOX_LIMIT: Final = 10_000
"""Number of queued messages at which a mailbox rejects new ones."""

_log = get_logger(__name__)


class MailboxFullError(Exception):
    """A message that expects a reply was not queued because the task's mailbox is full."""


@define(eq=False)
class Ask(Generic[T]):
    """Base class of messages that expect a reply."""

    reply: Future[T] = field(factory=Future, kw_only=True, repr=False)
    """Completed by the task that handles the message."""

    def answer(self, value: T) -> None:
        """Completes the reply, unless the sender has cancelled it."""
        if not self.reply.done():
            self.reply.set_result(value)


@define
class _Stop:
    """Ends the thread of a task."""


class Task(ABC):
    """A thread with a bounded mailbox.

    Subclasses return a handler for each message type from `handlers`. Only handlers access the
    state of a task, so it needs no locks.
    """

    is_needed: ClassVar[bool] = True
    """Whether the process must not serve while the thread cannot be kept running."""

    def __init__(self, name: str, metrics: Metrics, on_invariant: Callable[[], None]) -> None:
        self.name: Final = name
        self.metrics: Final = metrics
        self._on_invariant = on_invariant
        self._mailbox: queue.Queue[object] = queue.Queue(MAILBOX_LIMIT)
        self.thread: Final = SupervisedThread(name, self._run, metrics, is_needed=self.is_needed)
        self._handlers = self.handlers()

    @abstractmethod
    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """Returns the handler of each message type that the task accepts."""

    def start(self) -> None:
        """Starts the task's thread."""
        self.thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stops the thread after the queued messages are handled.

        Args:
            timeout_s: Maximum wait for space in the mailbox, and then for the end of the thread.

        Raises:
            queue.Full: The mailbox stayed full for `timeout_s` seconds.
        """
        self._mailbox.put(_Stop(), timeout=timeout_s)
        self.thread.join(timeout_s)

    def post(self, message: object) -> bool:
        """Queues a message without blocking.

        Returns:
            False if the mailbox is full; the message is then discarded and counted.
        """
        try:
            self._mailbox.put_nowait(message)
        except queue.Full:
            self.metrics.count("mailbox_full_total", task=self.name)
            return False
        return True

    def ask(self, message: Ask[T]) -> Future[T]:
        """Queues a message and returns the future of its reply.

        The future fails with `MailboxFullError` if the mailbox is full.
        """
        if not self.post(message):
            message.reply.set_exception(MailboxFullError(self.name))
        return message.reply

    def _run(self) -> None:
        while True:
            message = self._mailbox.get()
            if isinstance(message, _Stop):
                self.thread.stop()
                return
            self._handle(message)

    def _handle(self, message: object) -> None:
        handler = self._handlers.get(type(message))
        try:
            if handler is None:
                raise InvariantError(f"{self.name}: no handler for {type(message).__name__}")
            handler(message)
        except InvariantError:
            _log.exception("invariant_broken", task=self.name)
            self._on_invariant()
        except Exception as error:  # A failed handler must not end the task.
            _log.exception("message_failed", task=self.name, message=type(message).__name__)
            self.metrics.count("message_failures_total", task=self.name)
            if isinstance(message, Ask) and not message.reply.done():
                message.reply.set_exception(error)
