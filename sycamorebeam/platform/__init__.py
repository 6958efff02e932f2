"""The platform's names, formats and calls, decoded into the product's types.

Nothing in this package decides anything, and nothing outside it knows the
names that it decodes.
"""
