"""Parts of the queues of stage services: calls, deadlines, eligible items."""
