"""A serving system for multi-stage model pipelines."""

__version__ = '0.1.0'
