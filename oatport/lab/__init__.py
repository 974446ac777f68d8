"""Experiments in virtual time, reproducible from a seed. Their libraries are the extra `lab`."""

# Here, where the command line gets at them without those libraries.
FAULTS = ("none", "silent", "expensive-deadline", "lying", "burst")  # of a night
BREAKS = ("dedupe", "ack-early", "outbox")  # guards of the queues that can be switched off
GUARDS = (
    "fencing",
    "write-ahead",
    "forget",
    "unproven",
    "boot",
    "early",
    "orphan",
    "gate",
    "size",
    "copies",
    "told",
    "order",
    "conditions",
    "ends",
    "returned",
    "handed-on",
    "whole",
    "asked",
    "one-key",
)
