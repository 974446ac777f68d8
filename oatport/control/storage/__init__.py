"""Persistence of the leader's state in the state service: record layout, encoding, write batches and recovery."""
