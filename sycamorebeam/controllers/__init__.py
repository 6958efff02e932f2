"""Controllers, each of which owns one part of an instance's state."""
