"""Tests of the choice of engines for prompts, also under load."""

import heapq
import random

import ddt

from sycamorebeam import hashing
from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import target_choice
from tests import base
from tests.forwarding import build


def engines(count, **fields):
    return [build.target(f'e{n}', slots=64, **fields) for n in range(count)]


def prompt(attempt_id='r0', shared=(('s', 10_000),), own=1_000, **fields):
    parts = [requests.PromptPart(*part) for part in shared]
    parts.append(requests.PromptPart(f'own-{attempt_id}', own))
    return prompt_placing.Prompt(
        attempt_id=attempt_id, parts=tuple(parts), **fields
    )


@ddt.ddt
class PlacingTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.placer = prompt_placing.PromptPlacer()
        self.engines = engines(4)

    def place(self, attempt_id='r0', now_ms=0, **fields):
        return self.placer.place(
            prompt(attempt_id, **fields), self.engines, now_ms
        ).target_id

    def test_a_shared_part_is_placed_where_it_is_cached(self):
        first = self.place('r0')
        self.placer.mark_read('r0')
        for number in range(1, 10):
            self.assertEqual(first, self.place(f'r{number}'))
            self.placer.mark_read(f'r{number}')

    def test_an_unknown_part_is_placed_by_its_hash(self):
        names = [target.target_id for target in self.engines]
        for number in range(20):
            placer = prompt_placing.PromptPlacer()
            chosen = placer.place(
                prompt(shared=((f's{number}', 5_000),)), self.engines, 0
            )
            expected = hashing.rank(f's{number}', names, 1)[0]
            self.assertEqual(expected, chosen.target_id)

    @ddt.data(
        ('few tokens queued at the warm engine', 5_000, True),
        ('more tokens queued there than the part has', 25_000, False),
    )
    @ddt.unpack
    def test_a_warm_engine_with_a_long_queue_is_skipped(
        self, _, queued, is_warm
    ):
        warm = self.place('r0')
        self.placer.mark_read('r0')
        # Placed on the warm engine, with many tokens of its own.
        self.assertEqual(warm, self.place('r1', own=queued))
        self.assertEqual(is_warm, warm == self.place('r2'))

    @ddt.data('mark_read', 'remove')
    def test_a_read_or_removed_prompt_is_not_queued(self, event):
        warm = self.place('r0', own=50_000)
        getattr(self.placer, event)('r0')
        self.assertEqual(warm, self.place('r1'))

    def test_a_prompt_that_is_never_removed_expires(self):
        warm = self.place('r0', own=50_000)
        later_ms = prompt_placing.UNREAD_TIMEOUT_MS + 1
        self.assertEqual(warm, self.place('r1', now_ms=later_ms))

    def test_a_part_expires_from_the_cache(self):
        self.place('r0')
        self.placer.mark_read('r0')
        engine = self.placer._engine(self.engines[0])
        later_ms = prompt_placing.CACHE_LIFETIME_MS + 1
        parts = prompt().parts
        self.assertEqual(11_000, engine.tokens_to_read(parts, later_ms))

    def test_parts_count_as_cached_only_after_cached_ones(self):
        target = self.engines[0]
        self.placer.place(prompt(shared=(('a', 100), ('b', 200))), [target], 0)
        engine = self.placer._engine(target)
        other = prompt(shared=(('x', 100), ('b', 200)), own=7).parts
        self.assertEqual(307, engine.tokens_to_read(other, 0))
        same = prompt('r9', shared=(('a', 100), ('b', 200)), own=7).parts
        self.assertEqual(7, engine.tokens_to_read(same, 0))

    def test_a_full_engine_is_chosen_last(self):
        full = self.place('r0')
        slots = int(64 * target_choice.BUSY_SLOT_SHARE)
        for number in range(1, slots):
            self.placer.place(
                prompt(f'r{number}'),
                [t for t in self.engines if t.target_id == full],
                0,
            )
            self.placer.mark_read(f'r{number}')
        self.assertNotEqual(full, self.place('last'))

    @ddt.data((1.0, True), (100.0, False))
    @ddt.unpack
    def test_an_engine_is_chosen_in_the_zone_of_large_results(
        self, megabytes, is_warm
    ):
        targets = [*engines(1), build.target('far', zone='a2', slots=64)]
        warm = self.placer.place(prompt(), targets[1:], 0)
        self.assertEqual('far', warm.target_id)
        self.placer.mark_read('r0')
        chosen = self.placer.place(
            prompt('r1', zone='a1', input_bytes=megabytes * 1e6), targets, 0
        )
        self.assertEqual(is_warm, chosen.target_id == 'far')

    def test_a_restarted_engine_has_no_requests_and_no_cache(self):
        target = self.engines[0]
        self.placer.place(prompt(), [target], 0)
        restarted = build.target('e0', slots=64, incarnation=99)
        self.placer.keep_only({'e0': restarted})
        self.assertEqual({}, self.placer._engines)
        self.assertEqual({}, self.placer._engine_of)

    def test_nothing_is_placed_without_engines(self):
        self.assertIsNone(self.placer.place(prompt(), [], 0))


class PromptLoad:
    """Simulates long prompts on engines that read them one by one.

    Six engines read 62 tokens a millisecond. Twelve prompts a second arrive,
    each with one of 300 shared parts of 13,000 tokens. ``choose`` returns the
    engine of a prompt. Without queueing a prompt takes 270 ms at most.
    """

    OBJECTIVE_MS = 500

    def __init__(self, seed, choose, on_read=lambda attempt_id: None):
        generator = random.Random(seed)
        self.in_time = self.read_tokens = 0
        free_ms = dict.fromkeys(range(6), 0.0)
        cached = {number: {} for number in free_ms}
        reads = []
        now_ms = 0.0
        self.total = 600
        for number in range(self.total):
            now_ms += generator.expovariate(12 / 1_000)
            while reads and reads[0][0] <= now_ms:
                on_read(heapq.heappop(reads)[1])
            part = f's{int(300 * generator.random() ** 1.5)}'
            subject = prompt(f'r{number}', ((part, 13_000),), own=3_700)
            engine = int(choose(subject, int(now_ms))[1:])
            used_ms = cached[engine].get(part, -1e9)
            is_cached = now_ms - used_ms < 10_000
            cached[engine][part] = now_ms
            tokens = 3_700 if is_cached else 16_700
            self.read_tokens += tokens
            begin_ms = max(now_ms, free_ms[engine])
            free_ms[engine] = begin_ms + tokens / 62
            heapq.heappush(reads, (free_ms[engine], f'r{number}'))
            self.in_time += free_ms[engine] - now_ms <= self.OBJECTIVE_MS


@ddt.ddt
class PromptLoadTest(base.TestCase):
    @ddt.data(1, 2, 3)
    def test_few_prompts_miss_the_objective(self, seed):
        """Placing by hash alone misses it more often."""
        targets = engines(6)
        names = [target.target_id for target in targets]
        placer = prompt_placing.PromptPlacer()
        placed = PromptLoad(
            seed,
            lambda subject, now_ms: (
                placer.place(subject, targets, now_ms).target_id
            ),
            placer.mark_read,
        )
        hashed = PromptLoad(
            seed,
            lambda subject, now_ms: hashing.rank(
                subject.parts[0].part_id, names, 1
            )[0],
        )
        self.assertGreater(placed.in_time, 0.97 * placed.total)
        self.assertLess(hashed.in_time, 0.93 * hashed.total)
        # Few shared parts are read again.
        self.assertLess(placed.read_tokens, 1.2 * hashed.read_tokens)
