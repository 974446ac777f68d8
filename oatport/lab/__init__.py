"""Experiments in virtual time, reproducible from a seed. Their libraries are the extra `lab`.

The names of options' values stand here, where the command line gets at them without importing those libraries.
"""

# Faults of a night of deferrable work (`lab windows --fault`).
FAULTS = ("none", "silent", "expensive-deadline", "lying", "burst")
# Safety checks of the AMQP gateway that can be disabled (`lab queues --disable-check`).
QUEUE_SAFETY_CHECKS = ("dedupe", "ack-early", "outbox")
# Safety checks of the nodes that can be disabled (`lab simulate --disable-check`): oatport/simulation/mutations.py.
SAFETY_CHECKS = (
    "fencing",
    "write-ahead",
    "start-in-flight",
    "failure-confirmation",
    "process-identity",
    "dependency-release",
    "transitive-cancellation",
    "feature-gate",
    "record-size",
    "cancellation-log",
    "heartbeat-order",
    "transaction-conditions",
    "completion-record",
    "unwritten-completions",
    "completion-handover",
    "gang-completion",
    "read-freshness",
    "commit-verification",
)
# Families of generated fault plans (`lab simulate --scenario`): oatport/simulation/runner.py.
SCENARIOS = ("random", "rolling-upgrade", "unreachable-machines", "state-outage", "fault-interactions", "quota")
