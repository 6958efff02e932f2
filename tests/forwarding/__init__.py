"""Tests of forwarding and of the platform adapter."""
