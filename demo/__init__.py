"""The demonstration: stand-ins, instances, load and faults."""
