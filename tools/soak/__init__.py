"""Fault soak: runs real gateway processes under seeded faults and checks their promises.

`python -m tools.soak --seed 7` runs one seed. Callers, endpoints and the store run in the soak
process and observe only what reaches their sockets; each gateway is a separate process. Faults are
injected from outside the gateways: with signals, and with proxies on the loopback interface between
gateways, store and endpoints.
"""
