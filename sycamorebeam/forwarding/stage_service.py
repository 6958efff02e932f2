"""One stage service as the owner of its queue sees it."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from sycamorebeam.forwarding import held_results
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import stage_queue
from sycamorebeam.forwarding import stages

# A call may take this many times its stated length before it is given up;
# replicas are known to turn some times slower.
CALL_PATIENCE = 8
MIN_CALL_TIMEOUT_MS = 2_000
PACE_WEIGHT = 0.4  # of the newest call in the average of a replica's pace
BROKEN_PAUSE_MS = 500  # first pause of a replica that broke a call
LONGEST_PAUSE_MS = 4_000
# A new owner waits so long for the first report of a replica, which another
# owner may have filled; a few round trips between regions.
FIRST_REPORT_MS = 60
REPORT_INTERVAL_MS = 200  # reports are some hundred ms old


@attrs.define
class StageService:
    """The queue of a service, its replicas, and the results they hold."""

    name: str
    queue: stage_queue.StageQueue
    held: held_results.HeldResults = attrs.field(
        factory=held_results.HeldResults
    )
    _adopted_by_ms: int | None = None
    _replicas: dict[str, stage_queue.Replica] = attrs.field(factory=dict)
    _pauses_ms: dict[str, int] = attrs.field(factory=dict)

    def refresh(
        self,
        targets: Iterable[model.Target],
        lead_ms: Callable[[str], int],
        now_ms: int,
    ) -> list[stage_queue.Replica]:
        """Return the replicas that may get calls.

        ``lead_ms`` says how far ahead calls to a zone are sent.
        """
        if self._adopted_by_ms is None:
            self._adopted_by_ms = now_ms + FIRST_REPORT_MS
        usable = {target.target_id: target for target in targets}
        for target_id in self._replicas.keys() - usable.keys():
            if not self._replicas[target_id].calls:
                del self._replicas[target_id]
        for target_id, target in usable.items():
            if target_id not in self._replicas:
                zone = target.availability_zone
                self._replicas[target_id] = stage_queue.Replica(
                    target_id,
                    zone,
                    lead_ms=lead_ms(zone),
                    paused_until_ms=now_ms + FIRST_REPORT_MS,
                )
        return [self._replicas[target_id] for target_id in usable]

    def is_adopting(self, now_ms: int) -> bool:
        """Whether the first reports of a queue's replicas are due."""
        if self._adopted_by_ms is None or now_ms >= self._adopted_by_ms:
            return False
        return any(replica.is_new for replica in self._replicas.values())

    def take_due_reports(self, now_ms: int) -> list[stage_queue.Replica]:
        """Return the replicas whose report is to be asked for now."""
        due = [
            replica
            for replica in self._replicas.values()
            if replica.is_doubtful
            and (
                replica.reported_ms is None
                or now_ms - replica.reported_ms >= REPORT_INTERVAL_MS
            )
        ]
        for replica in due:
            replica.reported_ms = now_ms
        return due

    def take_report(
        self,
        replica: stage_queue.Replica,
        report: stages.Report,
        now_ms: int,
    ) -> None:
        """Count memory that results of another owner's calls take."""
        used_bytes = self.queue.batching.memory_bytes - report.free_bytes
        replica.unaccounted_bytes = max(0.0, used_bytes - replica.held_bytes)
        replica.is_doubtful = replica.unaccounted_bytes > 0
        if replica.is_new:
            replica.is_new = False
            pause_ms = 0
            if report.is_busy:
                batching = self.queue.batching
                pause_ms = int(self.queue.call_ms(batching.items) / 2)
            replica.paused_until_ms = now_ms + pause_ms

    def begin_call(
        self,
        replica: stage_queue.Replica,
        entries: list[stage_queue.Entry],
        now_ms: int,
    ) -> None:
        """Count a call against its replica."""
        replica.calls += 1
        replica.held_bytes += result_bytes(entries)
        call_ms = self.queue.call_ms(len(entries))
        begin_ms = max(now_ms, replica.busy_until_ms)
        replica.busy_until_ms = begin_ms + int(call_ms * replica.slowness)

    def end_call(
        self,
        replica: stage_queue.Replica,
        entries: list[stage_queue.Entry],
        *,
        has_run: bool,
    ) -> None:
        """Count the end of a call, and its memory unless it ran."""
        replica.calls -= 1
        if not replica.calls:
            replica.busy_until_ms = 0
        if not has_run:
            replica.held_bytes -= result_bytes(entries)

    def call_timeout_ms(self, entries: list[stage_queue.Entry]) -> float:
        """Return after what time a call is given up."""
        stated_ms = self.queue.call_ms(len(entries))
        return max(MIN_CALL_TIMEOUT_MS, CALL_PATIENCE * stated_ms)

    def learn_pace(
        self,
        replica: stage_queue.Replica,
        items: int,
        began_ms: int,
        now_ms: int,
    ) -> None:
        """Note how long a call took against what the service states."""
        self._pauses_ms.pop(replica.target_id, None)
        # A call that was sent ahead began when the one before it ended.
        took_ms = now_ms - max(began_ms, replica.ended_ms)
        replica.ended_ms = now_ms
        # Items cheaper than stated say nothing about the replica's pace.
        sample = max(1.0, took_ms / self.queue.call_ms(items))
        replica.slowness += PACE_WEIGHT * (sample - replica.slowness)

    def pause_broken(self, replica: stage_queue.Replica, now_ms: int) -> int:
        """Pause a replica that broke a call, longer each time."""
        pause_ms = self._pauses_ms.get(replica.target_id, BROKEN_PAUSE_MS)
        self._pauses_ms[replica.target_id] = min(
            LONGEST_PAUSE_MS, pause_ms * 2
        )
        replica.paused_until_ms = now_ms + pause_ms
        return pause_ms


def result_bytes(entries: list[stage_queue.Entry]) -> float:
    """Return the memory that the results of a call take."""
    return sum(entry.group.result_bytes for entry in entries)


def timed(
    entries: list[stage_queue.Entry], now_ms: int
) -> list[stages.TimedItem]:
    """Return the items of a call with the time that is left for each."""
    return [
        stages.TimedItem(
            entry.group.work,
            entry.position,
            max(1, entry.group.useless_ms - now_ms),
        )
        for entry in entries
    ]
