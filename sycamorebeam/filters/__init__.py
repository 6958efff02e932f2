"""Request filters: each takes one decision about a request."""
