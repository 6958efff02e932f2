"""Evacuation of availability zones on the operator's request."""
