"""Limits the requests to targets that may be cold."""
