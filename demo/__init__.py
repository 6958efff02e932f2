"""A demonstration of instances under load and faults, on stand-ins."""
