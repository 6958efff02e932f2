"""Controllers: each owns one piece of state that filters read."""
