"""The HTTP interfaces that a node serves to users, workers and the other controller nodes."""
