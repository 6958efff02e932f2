"""Clients for the protocols of the platform, the targets and callers."""
