"""Policies for routing and rate limits, without I/O; times are arguments."""
