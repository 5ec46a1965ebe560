"""The command line of the program."""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING, Annotated, Any, Final

import cappa
import structlog
from attrs import define

from sequoiadrum import __version__, standin_engine, standin_platform, standin_service
from sequoiadrum._cli_base import ROUTER_VARIABLE
from sequoiadrum._cli_values import number_option, report_wrong_values
from sequoiadrum._cli_where import Where  # noqa: TC001 (cappa evaluates it)
from sequoiadrum.app import Router
from sequoiadrum.cli_operator import OperatorCommands  # noqa: TC001 (cappa evaluates it)
from sequoiadrum.gateway.explain import explain
from sequoiadrum.logs import get_logger
from sequoiadrum.settings import Settings, unknown_variables

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

EXIT_OK: Final = 0
EXIT_NOT_FOUND: Final = 1
"""The command ran, and what it was asked for does not exist."""
EXIT_USAGE: Final = 2


def given_arguments() -> Sequence[str]:
    """Returns the arguments of the command line; `run` replaces it by those that it was given."""
    return sys.argv[1:]


@cappa.command(name="serve", help="Run a router until SIGTERM.")
@define
class Serve(Settings):
    """Runs a router."""

    def __call__(self, arguments: Annotated[Any, cappa.Dep(given_arguments)]) -> int:
        """Validates the settings, then serves; `--check` and `--print-settings` do not serve."""
        problems = [*unknown_variables(os.environ, {ROUTER_VARIABLE}), *self.problems()]
        for problem in problems:
            sys.stderr.write(f"sequoiadrum: {problem}\n")
        if problems:
            return EXIT_USAGE
        if self.print_settings:
            for setting in self.effective(arguments, os.environ):
                sys.stdout.write(f"{setting}\n")
            return EXIT_OK
        if self.check:
            sys.stdout.write("settings are valid\n")
            return EXIT_OK
        configure_logs(self.log_format)
        effective = self.effective(arguments, os.environ)
        get_logger(__name__).info("settings", **{each.name: each.value for each in effective})
        return Router(self).run()


@cappa.command(name="platform", help="Run the platform stand-in.")
@define
class StandInPlatform:
    """Runs the platform stand-in."""

    host: Annotated[str, cappa.Arg(long=True, help="IP address")] = "127.0.0.1"
    port: Annotated[int, number_option("port", "TCP port, 0 for any", 0)] = 0

    def __call__(self) -> int:
        """Serves until the process is stopped."""
        return _serve_stand_in(
            self, lambda: standin_platform.serve(self.host, self.port, _print_line)
        )


@cappa.command(name="engine", help="Run a model engine stand-in.")
@define
class StandInEngine:
    """Runs an engine stand-in."""

    host: Annotated[str, cappa.Arg(long=True, help="IP address")] = "127.0.0.1"
    port: Annotated[int, number_option("port", "TCP port, 0 for any", 0)] = 0
    token_ms: Annotated[float, number_option("token_ms", "Time between tokens (ms)", 5.0)] = 5.0
    prefill_ms: Annotated[
        float, number_option("prefill_ms", "Time to first token, uncached (ms)", 20.0)
    ] = 20.0
    cache_chats: Annotated[
        int, number_option("cache_chats", "Chats that fit in the cache", 1_000)
    ] = 1_000
    ignore_fencing: Annotated[
        bool, cappa.Arg(long=True, help="Accept orders with outdated fencing numbers")
    ] = False

    def __call__(self) -> int:
        """Serves until the process is stopped."""
        options = standin_engine.EngineOptions(
            token_ms=self.token_ms,
            prefill_ms=self.prefill_ms,
            cache_chats=self.cache_chats,
            checks_fencing=not self.ignore_fencing,
        )
        return _serve_stand_in(
            self, lambda: standin_engine.serve(self.host, self.port, options, _print_line)
        )


@cappa.command(name="service", help="Run a plain service stand-in.")
@define
class StandInService:
    """Runs a plain service stand-in."""

    host: Annotated[str, cappa.Arg(long=True, help="IP address")] = "127.0.0.1"
    port: Annotated[int, number_option("port", "TCP port, 0 for any", 0)] = 0

    def __call__(self) -> int:
        """Serves until the process is stopped."""
        return _serve_stand_in(
            self, lambda: standin_service.serve(self.host, self.port, _print_line)
        )


@cappa.command(name="stand-in", help="Run a stand-in for an external system, for trials and tests.")
@define
class StandIn:
    """Groups the stand-ins."""

    command: cappa.Subcommands[StandInPlatform | StandInEngine | StandInService]


@cappa.command(name="explain", help="Explain a request from log lines on standard input.")
@define
class Explain:
    """Explains what happened to one request of a gateway."""

    request_id: Annotated[str, cappa.Arg(help="Request id that the caller sent")]

    def __call__(self) -> int:
        """Prints the explanation; the exit status says whether the request was found."""
        if sys.stdin.isatty():
            sys.stderr.write("sequoiadrum: pass log lines: cat logs/* | sequoiadrum explain ID\n")
            return EXIT_USAGE
        # Logs may contain bytes that are no text; such lines are only counted.
        lines = (line.decode("utf-8", "replace") for line in sys.stdin.buffer)
        explanation = explain(self.request_id, lines)
        if not explanation.read.has_records:
            sys.stderr.write(f"sequoiadrum: no log lines: {explanation.read.text()}\n")
            return EXIT_USAGE
        sys.stdout.write(explanation.text())
        return EXIT_OK if explanation.request_lines else EXIT_NOT_FOUND


@cappa.command(
    name="sequoiadrum", help="A fleet of routers that places chat requests on model engines."
)
@define
class Program:
    """The program with all its commands."""

    command: cappa.Subcommands[Serve | Explain | Where | StandIn | OperatorCommands]


def run(arguments: Sequence[str]) -> int:
    """Runs one command; returns the exit status."""
    try:
        result = cappa.invoke(
            Program,
            argv=list(arguments),
            version=__version__,
            deps={given_arguments: arguments},
        )
    except cappa.Exit as error:
        return int(error.code or 0)
    return int(result or 0)


def configure_logs(log_format: str) -> None:
    """Configures structlog to write one event per line to standard error."""
    renderer: structlog.types.Processor = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.getLogger("waitress").setLevel(logging.ERROR)


def _serve_stand_in(
    command: StandInPlatform | StandInEngine | StandInService, serve: Callable[[], None]
) -> int:
    """Serves if the values of a command are allowed; returns the exit status."""
    if report_wrong_values(command):
        return EXIT_USAGE
    try:
        serve()
    except OSError as error:
        address = f"{command.host}:{command.port}"
        sys.stderr.write(f"sequoiadrum: cannot listen on {address}: {error.strerror}\n")
        return EXIT_USAGE
    return EXIT_OK


def _print_line(text: str) -> None:
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
