"""Tests of sequoiadrum."""

from __future__ import annotations

import logging

import structlog

# Log lines for expected faults would clutter the report of the test runner.
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
