"""Who leads: the leader lease, election priority, the lease proxy and partitioned zones."""
