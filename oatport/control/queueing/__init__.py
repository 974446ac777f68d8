"""Orders pending work: predicted run times, tiers, dependencies, deadlines and queue wait estimates."""
