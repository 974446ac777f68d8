"""How many machines there are: scale-out, scale-in and incoming capacity."""
