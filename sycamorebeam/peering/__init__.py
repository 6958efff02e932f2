"""Streams of messages between instances."""
