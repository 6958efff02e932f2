"""Logs and counts the refusals and kept places of stage queues."""

from sycamorebeam import telemetry
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import stage_service


def report(
    service: stage_service.StageService, metrics: prometheus_metrics.Metrics
) -> None:
    """Report what a queue has refused and kept since the last report."""
    counts = service.queue.admission.pop_counts()
    if not counts.refused and not counts.used:
        return
    refusals = metrics.stage_refusals
    refusals.labels(service.name, 'kept').inc(counts.kept)
    refusals.labels(service.name, 'none').inc(counts.refused - counts.kept)
    metrics.stage_places_used.labels(service.name).inc(counts.used)
    telemetry.log_event(
        'stage_contention',
        service=service.name,
        refused=counts.refused,
        kept=counts.kept,
        used=counts.used,
        waiting=service.queue.waiting_item_count,
    )
