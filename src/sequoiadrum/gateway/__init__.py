"""The HTTP data plane: routes requests to the endpoints of services by host and path.

The modules `model`, `routing`, `endpoints`, `placement`, `retry_budget` and `sse_framing` perform
no I/O. The other modules own the sockets, threads and files.
"""
