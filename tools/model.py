"""Runs the model checker over the specifications in ``model/``."""

print('no specification yet')
