"""Leadership and availability: leader lease, election priority, failure detection, lease proxy, partitioned zones."""
