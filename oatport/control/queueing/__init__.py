"""The order of pending work: predicted run times, tiers, dependencies and queue wait estimates."""
