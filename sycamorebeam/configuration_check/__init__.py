"""Checks a configuration before it is sent, and compares two versions."""
