"""Queue clients: AMQP work queues on the same scheduling core. See docs/queues.md."""
