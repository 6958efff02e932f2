"""Keeps requests within the regions that may serve them."""
