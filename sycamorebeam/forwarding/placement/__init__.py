"""Placement of requests by the expected time to their first event."""
