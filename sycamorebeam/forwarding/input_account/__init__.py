"""Bounds what an instance holds for all that its peers have sent."""
