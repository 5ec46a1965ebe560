"""Tests of sequoiadrum."""
