"""Records of test runs, which the processes of one run write into a common folder."""

from __future__ import annotations

import json
import os
import time
import unittest
from pathlib import Path
from typing import Any, Final

from attrs import define, field

FOLDER_VARIABLE: Final = "TEST_RECORDS_FOLDER"
"""Environment variable that names the folder."""


@define
class TestRecords:
    """The outcomes of one run, by test id."""

    seconds_by_test: dict[str, float] = field(factory=dict)
    """Duration of each test that was run."""
    failed: set[str] = field(factory=set)
    """Tests that failed, and classes and modules whose set-up failed."""


class RecordingResult(unittest.TextTestResult):
    """Prints outcomes as usual, and writes them into the folder of the environment variable."""

    _started_at = 0.0
    _failed_test: str | None = None
    """The test that is running, if it has failed."""

    def startTest(self, test: unittest.TestCase) -> None:
        """See `TestResult.startTest`."""
        self._started_at = time.monotonic()
        self._failed_test = None
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        """See `TestResult.stopTest`."""
        seconds = time.monotonic() - self._started_at
        _write({"test": test.id(), "seconds": seconds, "failed": self._failed_test == test.id()})
        super().stopTest(test)

    def addError(self, test: unittest.TestCase, err: Any) -> None:
        """See `TestResult.addError`; `test` may stand for the set-up of a class or module."""
        self._record_failure(test)
        super().addError(test, err)

    def addFailure(self, test: unittest.TestCase, err: Any) -> None:
        """See `TestResult.addFailure`."""
        self._record_failure(test)
        super().addFailure(test, err)

    def addSubTest(self, test: unittest.TestCase, subtest: unittest.TestCase, err: Any) -> None:
        """See `TestResult.addSubTest`."""
        if err is not None:
            self._record_failure(test)
        super().addSubTest(test, subtest, err)

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:
        """See `TestResult.addUnexpectedSuccess`."""
        self._record_failure(test)
        super().addUnexpectedSuccess(test)

    def _record_failure(self, test: unittest.TestCase) -> None:
        if isinstance(test, unittest.TestCase):
            self._failed_test = test.id()
        else:
            _write({"failed_setup": test.id()})


def read_records(folder: Path) -> TestRecords:
    """Reads what all processes of a run have written."""
    records = TestRecords()
    for path in folder.iterdir():
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            if "failed_setup" in entry:
                records.failed.add(entry["failed_setup"])
                continue
            records.seconds_by_test[entry["test"]] = entry["seconds"]
            if entry["failed"]:
                records.failed.add(entry["test"])
    return records


def _write(entry: dict[str, Any]) -> None:
    path = Path(os.environ[FOLDER_VARIABLE]) / f"{os.getpid()}.jsonl"
    with path.open("a") as file:
        file.write(json.dumps(entry) + "\n")
