"""Forwarding of callers' requests to targets, and the decisions behind it."""
