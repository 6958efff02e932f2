"""Decides between the groups that contend for a stage service."""
