"""Clients for the services that a node calls: state service, cloud, workers and the other controller nodes."""
