"""Emulators of the external systems (state service, cloud, workers, AMQP broker, price feed) on loopback.

The emulators implement the protocol in memory, for tests and for running oatport on one machine. They are not part
of the deployed service.
"""
