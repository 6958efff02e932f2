"""Translates the platform's formats and calls into forwarding types.

The package makes no forwarding decisions, and code outside it does not use
the platform's names.
"""
