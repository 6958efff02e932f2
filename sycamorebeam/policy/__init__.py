"""Policies for routing and rate limits, without I/O or own clocks."""
