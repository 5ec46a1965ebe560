"""Fault soak: real gateway processes under seeded faults, with the promises checked from outside.

`python -m tools.soak --seed 7` plays one seed. Callers, endpoints and the store run in this
process, where each sees only what reaches its sockets; the gateways are processes of their own.
Faults come from outside them: signals, and proxies on the loopback interface between the parts.
"""
