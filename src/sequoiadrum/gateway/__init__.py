"""The data plane for plain HTTP: routes requests by host and path to endpoints of services.

Modules without I/O: `model`, `routing`, `endpoints`, `placement`, `retry_budget`, `sse_framing`.
The others own sockets, threads and files around them.
"""
