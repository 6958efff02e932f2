"""Request filters: each makes one decision about a request."""
