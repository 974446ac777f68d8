"""Plans the number of machines: scale-out, scale-in, rebalancing and incoming capacity."""
