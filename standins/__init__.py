"""Stand-ins for the outside systems (state service, cloud, workers), for tests and loopback runs.

Written from the protocol, in memory; they serve development only and are no part of the service.
"""
