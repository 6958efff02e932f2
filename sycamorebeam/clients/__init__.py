"""Clients of the protocols that the platform and the targets publish."""
