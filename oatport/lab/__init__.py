"""Experiments in virtual time, reproducible from a seed. The extra `lab` installs their dependencies.

The values that the options accept are defined here, so that the command line can list them without importing those
dependencies.
"""

# Faults that are injected into a night of deferrable jobs (`lab windows --fault`).
WINDOW_FAULTS = ("none", "silent", "expensive-deadline", "lying", "burst")
# Safety checks of the AMQP gateway that can be disabled (`lab queues --disable-check`).
QUEUE_SAFETY_CHECKS = ("dedupe", "ack-early", "outbox")
# Safety checks of the nodes that can be disabled (`lab simulate --disable-check`), implemented in
# oatport/simulation/mutations.py.
SAFETY_CHECKS = (
    "fencing",
    "write-ahead",
    "start-in-flight",
    "starts-in-responses",
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
# Families of generated fault plans (`lab simulate --scenario`), implemented in oatport/simulation/runner.py.
SCENARIOS = (
    "random",
    "rolling-upgrade",
    "unreachable-machines",
    "restarted-machines",
    "state-outage",
    "fault-interactions",
    "quota",
)
