"""Pure decision functions: state and clock in, decision out."""
