"""Seeded random histories of operators, followers, faults and retention."""

import asyncio
import random

from sycamorebeam import batching
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import publishing
from sycamorebeam import snapshot_writer
from sycamorebeam import snapshots
from sycamorebeam.clients import results
from tests import base
from tests import catalogue_bench
from tests import fake_log

HISTORIES = 2_000
FIRST_SEED = 1
MAX_OPERATORS = 3
MAX_FOLLOWERS = 3
MAX_CHANGES = 3
MAX_DISTURBANCES = 8
MAX_PAUSE_MS = 4_000
SETTLE_MS = 15_000
STREAM = catalogue_records.STREAM
CLOCK = catalogue_bench.CLOCK
NAMES = ('a', 'b')


class DisconnectableLog:
    """The log as one reader reaches it; the connection can be cut."""

    def __init__(self, log):
        self._log = log
        self.is_cut = False

    async def append(self, stream, data):
        if self.is_cut:
            return results.AppendRefused('cut')
        return await self._log.append(stream, data)

    async def read(self, stream, start, limit=100, wait_ms=0):
        if self.is_cut:
            return results.LogUnavailable('cut')
        page = await self._log.read(stream, start, limit, wait_ms)
        return results.LogUnavailable('cut') if self.is_cut else page

    async def bounds(self, stream):
        if self.is_cut:
            return results.LogUnavailable('cut')
        return await self._log.bounds(stream)


class History:
    """One seeded run; ``check`` compares it with the whole log."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.log = fake_log.FakeLog()
        self.answers = []
        self.digests_by_offset = {}
        self.benches = []
        self.log_connections = []
        for _ in range(self.random.randint(1, MAX_FOLLOWERS)):
            self.add_follower()

    def add_follower(self):
        connection = DisconnectableLog(self.log)
        others = [bench.follower for bench in self.benches]
        bench = catalogue_bench.Bench(
            connection, *others, seed=self.random.random()
        )
        for other in self.benches:
            other.peers.followers.append(bench.follower)
        self.log_connections.append(connection)
        self.benches.append(bench)
        highest = [-1]

        def check_published(published):
            assert published.offset > highest[0], 'the offset decreased'
            highest[0] = published.offset
            offset, digest = bench.follower.offset_and_digest()
            assert offset == published.offset
            assert (
                self.digests_by_offset.setdefault(offset, digest) == digest
            ), 'digests differ'

        bench.follower.subscribe(check_published)
        bench.start()

    async def run(self):
        count = self.random.randint(2, MAX_OPERATORS)
        operators = [self.run_operator(number) for number in range(count)]
        await asyncio.gather(self.inject_disturbances(), *operators)
        self.log.down = False
        for connection in self.log_connections:
            connection.is_cut = False
        await CLOCK.sleep_ms(SETTLE_MS)
        for bench in self.benches:
            await bench.follower.stop()

    async def run_operator(self, number):
        for _ in range(self.random.randint(1, MAX_CHANGES)):
            await CLOCK.sleep_ms(self.random.randrange(MAX_PAUSE_MS))
            fold = await publishing.read_fold(self.log)
            if isinstance(fold, results.LogUnavailable):
                continue
            await CLOCK.sleep_ms(self.random.choice((0, 0, 700)))
            edits = tuple(self.generate_edits(fold, number))
            author = publishing.Author(f'op{number}', 'test')
            self.answers.append(
                await publishing.publish(
                    self.log, CLOCK, edits, author, timeout_ms=3_000
                )
            )

    def generate_edits(self, fold, number):
        for name in NAMES[: self.random.randint(1, len(NAMES))]:
            key = f'team/{name}'
            stored = fold.store.stored.get(key)
            base_ = fold.store.revision(key)
            if stored is not None and self.random.random() < 0.3:
                yield catalogue_bench.edit(key, base_)
            else:
                owner = f'op{number}'
                yield catalogue_bench.team_edit(name, base_, owner=owner)

    async def inject_disturbances(self):
        steps = [
            self.lose_next_answer,
            self.delay_next_append,
            self.toggle_log,
            self.toggle_log_connection,
            self.apply_retention,
            self.write_snapshot,
            self.start_follower,
        ]
        for _ in range(self.random.randint(0, MAX_DISTURBANCES)):
            await CLOCK.sleep_ms(self.random.randrange(MAX_PAUSE_MS // 2))
            await self.random.choice(steps)()

    async def lose_next_answer(self):
        self.log.lose_answers = 1

    async def delay_next_append(self):
        self.log.late_by_ms = self.random.randrange(6_000)
        self.log.late_appends = 1

    async def toggle_log(self):
        self.log.down = not self.log.down

    async def toggle_log_connection(self):
        connection = self.random.choice(self.log_connections)
        connection.is_cut = not connection.is_cut

    async def apply_retention(self):
        """Truncate what the newest snapshot covers, as retention would."""
        records = self.log.streams.get(snapshots.STREAM, [])
        for record in reversed(records):
            part = snapshots.parse(record.data)
            if isinstance(part, snapshots.Manifest):
                self.log.truncate(STREAM, part.offset + 1)
                self.log.truncate(snapshots.STREAM, part.first)
                return

    async def write_snapshot(self):
        bench = self.random.choice(self.benches)
        fold = bench.follower.fold
        if fold.offset < self.log.oldest.get(STREAM, 0):
            return
        appender = batching.new_appender(
            self.log, CLOCK, 40.0, 5, random.Random(1)
        )
        frozen = snapshots.freeze(fold)
        await snapshot_writer.write(appender, CLOCK, frozen)
        await appender.stop()

    async def start_follower(self):
        self.add_follower()

    def check(self):
        records = self.log.streams.get(STREAM, [])
        oracle = Oracle()
        fold = catalogue_fold.Fold()
        decisions = []
        for record in records:
            new_decisions = fold.apply(record.offset, record.data)
            oracle.apply(record)
            decisions.extend(new_decisions)
            if record.offset in self.digests_by_offset:
                assert self.digests_by_offset[record.offset] == fold.digest, (
                    'digests differ'
                )
        assert oracle.accepted == [decision.accepted for decision in decisions]
        for bench in self.benches:
            follower = bench.follower
            state = (follower.offset, follower.readiness, bench.alarms)
            assert follower.offset_and_digest() == (
                fold.offset,
                fold.digest,
            ), state
            assert not bench.alarms, bench.alarms
        by_id = {decision.change_id: decision for decision in decisions}
        assert len(by_id) == len(decisions), 'a change was appended twice'
        for answer in self.answers:
            check_answer(answer, by_id.get(answer.change_id))


def check_answer(answer, decision):
    match answer:
        case publishing.Accepted(offset=offset):
            assert decision.accepted
            assert decision.offset == offset
        case publishing.Rejected(sent=True):
            assert not decision.accepted
        case publishing.Rejected():
            assert decision is None
        case publishing.Unresolved():
            pass


class Oracle:
    """Accepts a change when the base revision of each edit is current."""

    def __init__(self):
        self.revisions = {}
        self.accepted = []

    def apply(self, record):
        for change in catalogue_records.parse(record.data, 1):
            accepted = all(
                self.revisions.get(edit.key, -1) == edit.base_revision
                for edit in change.edits
            )
            self.accepted.append(accepted)
            for edit in change.edits if accepted else ():
                revision = -1 if edit.value is None else record.offset
                self.revisions[edit.key] = revision


class HistoriesTest(base.TestCase):
    async def test_random_histories(self):
        answers = set()
        for seed in range(FIRST_SEED, FIRST_SEED + HISTORIES):
            history = History(seed)
            try:
                await history.run()
                history.check()
            except Exception as error:
                raise AssertionError(f'seed {seed}: {error}') from error
            answers.update(type(answer) for answer in history.answers)
        self.assertEqual(
            {
                publishing.Accepted,
                publishing.Rejected,
                publishing.Unresolved,
            },
            answers,
        )
