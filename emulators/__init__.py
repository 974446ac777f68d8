"""Emulators of the outside systems (state service, cloud, workers, AMQP broker, price feed) on loopback.

Written from the protocol, in memory, for tests and for trying oatport on one machine; they are no part of the service.
"""
