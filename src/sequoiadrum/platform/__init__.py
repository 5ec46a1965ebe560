"""Adapter to the users' platform: names, formats and calls, and nothing that decides."""
