"""Which machine a task gets: feasibility filters, scores, gang scheduling, preemption, retries and
failure attribution."""
