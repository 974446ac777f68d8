"""The leader's in-memory view of the cluster: jobs, tasks, machines, quota and completions."""
