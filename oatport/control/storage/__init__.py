"""What is written to the state service and in which transactions: record layout, encoding, versions and recovery."""
