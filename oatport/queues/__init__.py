"""The queue gateway: turns messages of AMQP work queues into jobs of the scheduler. See docs/queues.md."""
