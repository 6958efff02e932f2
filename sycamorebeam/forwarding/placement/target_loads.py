"""The newest load reports of targets, from own answers and other instances.

It is designed for targets that many instances send to: an instance sees few
answers of each target, while the placer of a region gets what all instances
of the region have seen. It does no I/O.
"""

from collections.abc import Iterable
from collections.abc import Set
from typing import Any

import attrs

from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding.placement import pace

# A service is placed by time while a pace was seen within this time.
PACE_LIFETIME_MS = 10_000
# Older reports are not passed on: the period they tell of has ended.
MAX_SHARED_AGE_MS = 1_000
MAX_ROWS = 16  # in one message

Key = tuple[str, int]


@attrs.frozen(kw_only=True)
class Sample:
    """One report with a pace; ``own_running`` were this instance's then."""

    load: model.LoadReport
    seen_ms: float
    own_running: int = 0

    @property
    def pace(self) -> float:
        """The reported pace."""
        return self.load.pace or pace.USUAL_PACE

    def expected_ms(self, work_ms: float, now_ms: float) -> float:
        """Return the time that work takes from now on."""
        return pace.expected_ms(work_ms, self.pace, now_ms - self.seen_ms)


class TargetLoads:
    """Keeps the newest report with a pace of each incarnation of a target."""

    def __init__(self) -> None:
        self._samples: dict[Key, Sample] = {}
        self._unshared: dict[str, dict[Key, Sample]] = {}
        self._paced_ms: dict[str, float] = {}

    def record(
        self,
        target: model.Target,
        load: model.LoadReport,
        own_running: int,
        now_ms: float,
    ) -> None:
        """Record a report in an answer to this instance."""
        key = target.target_id, target.incarnation
        sample = Sample(load=load, seen_ms=now_ms, own_running=own_running)
        if self._keep(target.service, key, sample):
            self._unshared.setdefault(target.service, {})[key] = sample

    def get(self, target: model.Target) -> Sample | None:
        """Return the newest report of a target."""
        return self._samples.get((target.target_id, target.incarnation))

    def get_by_key(self, key: Key) -> Sample | None:
        """Return the newest report of an incarnation of a target."""
        return self._samples.get(key)

    def is_paced(self, service: str, now_ms: float) -> bool:
        """Whether targets of a service report their pace."""
        seen_ms = self._paced_ms.get(service)
        if seen_ms is None:
            return False
        if now_ms - seen_ms <= PACE_LIFETIME_MS:
            return True
        del self._paced_ms[service]
        telemetry.log_event('placement_by_time_ended', service=service)
        return False

    def take_rows(self, service: str, now_ms: float) -> list[list[Any]]:
        """Return the reports that the placer has not been sent, as rows."""
        unshared = self._unshared.get(service)
        if not unshared:
            return []
        rows: list[list[Any]] = []
        while unshared and len(rows) < MAX_ROWS:
            key, sample = unshared.popitem()
            load, age_ms = sample.load, now_ms - sample.seen_ms
            if age_ms <= MAX_SHARED_AGE_MS:
                figures = [load.running, load.waiting, load.slots, load.pace]
                rows.append([*key, *figures, age_ms])
        return rows

    def add_rows(
        self, service: str, rows: Iterable[list[Any]], now_ms: float
    ) -> None:
        """Record reports that another instance has seen."""
        for target_id, incarnation, running, waiting, slots, *rest in rows:
            load = model.LoadReport(
                running=running, waiting=waiting, slots=slots, pace=rest[0]
            )
            sample = Sample(load=load, seen_ms=now_ms - rest[1])
            self._keep(service, (target_id, incarnation), sample)

    def keep_only(self, kept: Set[Key]) -> None:
        """Drop the reports of other targets."""
        for key in self._samples.keys() - kept:
            del self._samples[key]
        for unshared in self._unshared.values():
            for key in unshared.keys() - kept:
                del unshared[key]

    def _keep(self, service: str, key: Key, sample: Sample) -> bool:
        """Keep a report unless a newer one is known."""
        known = self._samples.get(key)
        if known is not None and known.seen_ms > sample.seen_ms:
            return False
        self._samples[key] = sample
        if service not in self._paced_ms:
            telemetry.log_event('placement_by_time_begun', service=service)
        self._paced_ms[service] = max(
            sample.seen_ms, self._paced_ms.get(service, sample.seen_ms)
        )
        return True
