"""Tests of wrong values on the command line, for each option of each command."""

from __future__ import annotations

import contextlib
import functools
import io
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

import cappa
from attrs import fields
from cappa.docstring import get_attribute_docstrings

from sequoiadrum.cli import Program, run
from sequoiadrum.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Iterator

_UNUSABLE_NUMBERS = ("many", "1,5", "nan", "inf", "-2", "1e400", "99999999999999999999")
_UNUSABLE_BY_FLAG = {
    "--host": ("localhost", "1.2.3", "x"),
    "--prompt": ("x", "a:x", "a:-2", "a:nan", "a:1e400", "a:99999999999999999999"),
    "--router": ("", "x", "localhost:1", "127.0.0.1:99999", "127.0.0.1:x"),
}
"""Values that no command takes, besides those of numbers."""
_ANY_TEXT = {"--id", "--change-id", "--prefix", "--account", "--request"}


def _commands(
    command: object, path: tuple[str, ...] = ()
) -> Iterator[tuple[tuple[str, ...], list]]:
    """Yields the names and the arguments of each command without commands of its own."""
    groups = [each for each in command.arguments if isinstance(each, cappa.Subcommand)]
    if not groups:
        yield path, [each for each in command.arguments if isinstance(each, cappa.Arg)]
    for group in groups:
        for name, subcommand in group.options.items():
            yield from _commands(subcommand, (*path, name))


def _options(arguments: list[cappa.Arg[Any]]) -> Iterator[tuple[str, cappa.Arg[Any]]]:
    """Yields the flags that take a value, with their arguments."""
    for argument in arguments:
        flags = [name for name in map(str, argument.names()) if name.startswith("--")]
        if flags and argument.num_args is not None and argument.num_args.n:
            yield flags[0], argument


class CommandLineValuesTest(unittest.TestCase):
    """No wrong value ends in a traceback, and each message names the flag."""

    def setUp(self) -> None:
        self.commands = dict(_commands(cappa.collect(Program)))
        # The library reads the sources of all commands for each command line.
        self.enterContext(
            mock.patch(
                "cappa.docstring.get_attribute_docstrings",
                functools.cache(get_attribute_docstrings),
            )
        )
        for module in ("platform", "engine", "service"):
            self.enterContext(mock.patch(f"sequoiadrum.standin_{module}.serve"))

    def _run(self, *arguments: str) -> tuple[int, str]:
        """Runs a command in this process; returns its status and its messages."""
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors), contextlib.redirect_stdout(io.StringIO()):
            return run(arguments), errors.getvalue()

    def _base(self, path: tuple[str, ...], arguments: list[cappa.Arg[Any]]) -> list[str]:
        """Returns a command line with all arguments that are required."""
        required = [each for each in arguments if each.required]
        values = ["list" if each.field_name == "action" else "x" for each in required]
        return [*path, *values]

    def test_each_wrong_value_is_named(self) -> None:
        """Guards against a traceback, or Python's own words, in place of what an option expects.

        All values are played on the first command that has an option, one on each other command.
        """
        played: set[str] = set()
        for path, arguments in self.commands.items():
            for flag, argument in _options(arguments):
                if path == ("serve",) or flag in _ANY_TEXT:
                    continue
                values = _UNUSABLE_BY_FLAG.get(flag, _UNUSABLE_NUMBERS)
                for value in values[:1] if flag in played else values:
                    line = [*self._base(path, arguments), f"{flag}={value}"]
                    with self.subTest(line):
                        status, errors = self._run(*line)
                        self.assertEqual(status, 2)
                        self.assertIn(flag, errors)
                        if flag != "--router":
                            form = f"^sequoiadrum: {flag}: '.+' is not allowed, expected an? .+\n$"
                            self.assertRegex(errors, form)
                played.add(argument.names()[0])
        self.assertGreater(len(played), 10)

    def test_each_empty_or_missing_value_is_named(self) -> None:
        """Guards against a traceback when the value of an option was forgotten."""
        played: set[str] = set()
        for path, arguments in self.commands.items():
            for flag, _ in _options(arguments):
                if flag in played:
                    continue
                played.add(flag)
                with self.subTest([*path, flag]):
                    status, errors = self._run(*self._base(path, arguments), flag)
                    self.assertEqual(status, 2)
                    self.assertIn(flag, errors)

    def test_each_missing_argument_is_a_usage_error(self) -> None:
        """Guards against a call that is made without what it is about."""
        for path, arguments in self.commands.items():
            if any(argument.required for argument in arguments):
                with self.subTest(path):
                    self.assertEqual(self._run(*path)[0], 2)

    def test_each_setting_reports_wrong_values(self) -> None:
        """Guards against a setting without a rule for its values."""
        valid = [
            "--instance-id=a",
            "--host=10.0.0.1",
            "--failure-domain=z",
            "--platform=10.0.0.1:1",
        ]
        for argument in self.commands[("serve",)]:
            if argument.field_name not in _setting_names():
                continue
            flag = argument.names()[0]
            with self.subTest(flag):
                status, errors = self._run("serve", "--check", *valid, f"{flag}=a b,")
                self.assertEqual(status, 2)
                self.assertIn(f"sequoiadrum: {flag}: 'a b,' is not allowed, expected", errors)

    def test_address_that_cannot_be_used_is_named(self) -> None:
        """Guards against a traceback when another process has the port of a stand-in."""
        for name in ("platform", "engine", "service"):
            refused = OSError(98, "Address already in use")
            with (
                self.subTest(name),
                mock.patch(f"sequoiadrum.standin_{name}.serve", side_effect=refused),
            ):
                status, errors = self._run("stand-in", name, "--port=7")
                self.assertEqual(status, 2)
                self.assertIn("cannot listen on 127.0.0.1:7: Address already in use", errors)


def _setting_names() -> set[str]:
    return {each.name for each in fields(Settings)} - {"check", "print_settings"}


if __name__ == "__main__":
    unittest.main()
