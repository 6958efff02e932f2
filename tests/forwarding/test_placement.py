"""Tests of the placement by expected time, also under load."""

import asyncio
import functools
import heapq
import json
import pathlib
import random
import re
import statistics
from unittest import mock

import ddt

from sycamorebeam.forwarding import calls
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import region_prompt_placer
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding.placement import engine_state
from sycamorebeam.forwarding.placement import pace
from sycamorebeam.forwarding.placement import placement_metrics
from sycamorebeam.forwarding.placement import plain_choice
from sycamorebeam.forwarding.placement import target_loads
from sycamorebeam.forwarding.placement import target_selection
from sycamorebeam.forwarding.placement import timed_placer
from sycamorebeam.peering import placement_messages
from tests import base
from tests.forwarding import build

TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy/settings.json.template'
MEMORY = 320_000
SERVICE = build.service(
    has_engine=True, engine=model.Engine(slots=16, kv_cache_tokens=MEMORY)
)


def engines(count, **fields):
    return [build.target(f'e{n}', slots=16, **fields) for n in range(count)]


def prompt(attempt_id='r0', shared='s', own=2_890, **fields):
    parts = (
        requests.PromptPart(shared, 6_300),
        requests.PromptPart(f'own-{attempt_id}', own),
    )
    return prompt_placing.Prompt(attempt_id=attempt_id, parts=parts, **fields)


def report(paced, running=0, waiting=0):
    return model.LoadReport(
        running=running, waiting=waiting, slots=16, pace=paced
    )


def new_placer(loads, window_ms=9_300):
    metrics = prometheus_metrics.Metrics()
    return timed_placer.TimedPlacer(
        loads, placement_metrics.PlacementMetrics(metrics), window_ms
    )


class EngineLoad:
    """Plays long prompts with shared prefixes on engines with slow periods.

    12 engines read 42 tokens a millisecond, one prompt after the other, and
    keep the least recently used parts in their memory. In one of seven periods
    of 0.5 s, work takes ``slow_pace`` percent of its usual time. Reports reach
    the placer 3 ms after the first events.
    """

    OBJECTIVE_MS = 450  # what a stage of 0.6 s leaves of 1,035 ms

    def __init__(self, seed, placer, *, per_s, slow_pace):
        generator = random.Random(seed)
        self.placer = placer
        self.targets = engines(12)
        self.free_ms = [0.0] * 12
        self.caches = [{} for _ in range(12)]
        self.paces = [
            [generator.choice([slow_pace] + [100] * 6) for _ in range(600)]
            for _ in range(12)
        ]
        self.times_ms = []
        self.read_again = 0
        self.events = []
        now_ms = 0.0
        for number in range(2_500):
            now_ms += generator.expovariate(per_s / 1_000)
            while self.events and self.events[0][0] <= now_ms:
                self.report(*heapq.heappop(self.events))
            # Few prefixes are asked for often, many now and then.
            part = f's{int(160 * generator.random() ** 2)}'
            subject = prompt(f'r{number}', part, objective_in_ms=450.0)
            chosen = placer.place(subject, self.targets, int(now_ms))
            self.send(int(chosen.target_id[1:]), subject, now_ms)
        self.median_ms = round(statistics.median(self.times_ms), 6)
        self.late = sum(item > self.OBJECTIVE_MS for item in self.times_ms)

    def send(self, engine, subject, now_ms):
        cache = self.caches[engine]
        tokens = 0
        for part in subject.parts:
            tokens += 0 if part.part_id in cache else part.tokens
            cache.pop(part.part_id, None)
            cache[part.part_id] = part.tokens
        self.read_again += tokens - 2_890
        while sum(cache.values()) > MEMORY:
            del cache[next(iter(cache))]
        at_ms = max(now_ms, self.free_ms[engine])
        work_ms = tokens / 42
        while work_ms > 1e-9:
            paced = self.paces[engine][int(at_ms // 500)]
            end_ms = (at_ms // 500 + 1) * 500
            step_ms = min(work_ms * paced / 100, end_ms - at_ms)
            work_ms -= step_ms * 100 / paced
            at_ms += step_ms
        self.free_ms[engine] = at_ms
        self.times_ms.append(at_ms - now_ms)
        for after_ms, name in ((3, 'read'), (900, 'end')):
            event = (at_ms + after_ms, name, engine, subject.attempt_id)
            heapq.heappush(self.events, event)

    def report(self, at_ms, name, engine, attempt_id):
        if name == 'end':
            self.placer.end(attempt_id, at_ms)
            return
        load = report(float(self.paces[engine][int((at_ms - 3) // 500)]))
        self.placer.read(attempt_id, self.targets[engine], load, at_ms)


class ByTokens:
    """The decision for services that report no pace."""

    def __init__(self):
        self.placer = prompt_placing.PromptPlacer()
        self.place = self.placer.place

    def read(self, attempt_id, target, load, now_ms):
        self.placer.mark_read(attempt_id)

    def end(self, attempt_id, now_ms):
        self.placer.remove(attempt_id)


class ByTime:
    """The decision for services that report their pace."""

    def __init__(self):
        self.loads = target_loads.TargetLoads()
        self.placer = new_placer(self.loads)
        self.place = functools.partial(self.placer.place, SERVICE)
        self.end = self.placer.remove

    def read(self, attempt_id, target, load, now_ms):
        self.loads.record(target, load, 1, now_ms)
        self.placer.mark_read(attempt_id, now_ms)


@ddt.ddt
class EngineLoadTest(base.TestCase):
    @ddt.data((60, 300), (60, 500))
    @ddt.unpack
    def test_slow_periods_make_fewer_prompts_late(self, per_s, slow_pace):
        """Load: shared prefixes on engines with slow periods of 0.5 s.

        The decision by tokens makes more prompts late and reads more parts
        again. Guards against waiting at slow engines.
        """
        by_tokens, by_time = (
            [
                EngineLoad(seed, kind(), per_s=per_s, slow_pace=slow_pace)
                for seed in range(1, 5)
            ]
            for kind in (ByTokens, ByTime)
        )
        for name, share in (('late', 0.85), ('read_again', 0.8)):
            self.assertLess(
                sum(getattr(play, name) for play in by_time),
                share * sum(getattr(play, name) for play in by_tokens),
            )

    @ddt.data(20, 60)
    def test_a_calm_load_is_served_no_worse(self, per_s):
        """Load: the same prefixes, engines always at their usual pace."""
        by_tokens, by_time = (
            EngineLoad(7, kind(), per_s=per_s, slow_pace=100)
            for kind in (ByTokens, ByTime)
        )
        self.assertLessEqual(by_time.late, by_tokens.late)
        self.assertLessEqual(by_time.median_ms, by_tokens.median_ms)
        self.assertLess(by_time.read_again, by_tokens.read_again)


@ddt.ddt
class TimedPlacerTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.loads = target_loads.TargetLoads()
        self.placer = new_placer(self.loads)
        self.engines = engines(3)

    def place(self, attempt_id, now_ms, targets=None, **fields):
        subject = prompt(attempt_id, **fields)
        chosen = self.placer.place(
            SERVICE, subject, targets or self.engines, now_ms
        )
        return chosen and chosen.target_id

    def warm_up(self, at_ms=0):
        """Return the id of the engine that has read the shared part."""
        name = self.place('warm', at_ms)
        self.warm = [t for t in self.engines if t.target_id == name]
        self.placer.mark_read('warm', at_ms + 220)
        self.placer.remove('warm', at_ms + 1_000)
        return name

    @ddt.data(
        ('usual pace', 100.0, 0, True),
        ('a slow period just reported', 800.0, 0, False),
        ('a slow period that has ended by now', 800.0, 3_000, True),
    )
    @ddt.unpack
    def test_a_prefix_is_read_again_only_if_its_engine_is_slow(
        self, _, paced, age_ms, is_warm
    ):
        """Load: shared prefixes on engines with slow periods."""
        warm = self.warm_up()
        self.loads.record(self.warm[0], report(paced), 0, 2_000 - age_ms)
        self.assertEqual(is_warm, warm == self.place('next', 2_000))

    @ddt.data((0, True), (3, False))
    @ddt.unpack
    def test_waiting_for_a_prefix_is_bounded(self, queued, is_warm):
        """Load: a burst of prompts with one prefix."""
        warm = self.warm_up()
        for number in range(queued):
            self.place(f'q{number}', 2_000, self.warm, shared=f'x{number}')
        self.assertEqual(is_warm, warm == self.place('next', 2_000))

    def test_an_overdue_prompt_shows_a_slow_engine(self):
        """Load: engines that turn slow between two reports."""
        warm = self.warm_up()
        self.place('first', 2_000, self.warm)
        self.assertEqual(warm, self.place('early', 2_010))
        self.placer.remove('early', 2_011)
        self.assertNotEqual(warm, self.place('late', 2_700))

    def test_requests_fit_into_the_memory_of_an_engine(self):
        """Load: long answers; an engine crashes beyond its memory."""
        one = self.engines[:1]
        for number in range(3):
            self.place(f'r{number}', 0, one, output_tokens=90_000)
        self.assertIsNone(self.place('over', 0, one, output_tokens=90_000))
        self.placer.remove('r0', 5)
        self.assertEqual('e0', self.place('r3', 5, one, output_tokens=90_000))

    def test_full_engines_come_last(self):
        """Load: many short prompts with a prefix of one engine."""
        warm = self.warm_up()
        for number in range(16):
            self.place(f'r{number}', 2_000, self.warm, own=1)
            self.placer.mark_read(f'r{number}', 2_001)
        self.assertNotEqual(warm, self.place('next', 2_002))

    def test_the_prefill_rate_is_learnt(self):
        """Load: engines twice as fast as assumed."""
        self.loads.record(self.engines[0], report(100.0), 1, 0)
        for number in range(200):
            name, now_ms = f'r{number}', number * 10_000
            self.place(name, now_ms, self.engines[:1], shared=f'x{number}')
            self.placer.mark_read(name, now_ms + 9_190 / 80)
        ((_, rate),) = self.placer.tokens_per_ms()
        self.assertAlmostEqual(80, rate, delta=4)

    @ddt.data(
        ('just used', 0, 1_000, 0, 1),
        ('evicted by other prompts', 400_000, 1_000, 0, 0),
        ('last used long ago', 0, 600_000, 0, 0),
        ('an engine that has not read it', 0, 1_000, 1, 0),
    )
    @ddt.unpack
    def test_probability_of_a_cached_part(
        self, _, written, age_ms, part, expected
    ):
        """Load: more prompts than the memory of an engine holds."""
        engine = engine_state.EngineState()
        engine.mark_cached([requests.PromptPart('p0', 6_300)], 6_300, 0)
        engine.mark_cached([], written, 1)
        (probability,) = engine.cached_probabilities(
            [requests.PromptPart(f'p{part}', 6_300)], MEMORY, age_ms
        )
        self.assertAlmostEqual(expected, probability, delta=0.02)


@ddt.ddt
class TargetLoadsTest(base.TestCase):
    @ddt.data((0, True), (10_000, True), (10_001, False))
    @ddt.unpack
    def test_a_service_has_a_pace_for_ten_seconds(self, age_ms, expected):
        loads = target_loads.TargetLoads()
        self.assertFalse(loads.is_paced('engine', 0))
        loads.record(build.target('e0'), report(100.0), 0, 5)
        self.assertEqual(expected, loads.is_paced('engine', 5 + age_ms))

    def test_reports_are_passed_on_once_with_their_age(self):
        """Guards against rows that grow with each message."""
        seen, placing = target_loads.TargetLoads(), target_loads.TargetLoads()
        target = build.target('e0')
        seen.record(target, report(250.0, 3, 1), 2, 1_000)
        rows = seen.take_rows('engine', 1_200)
        self.assertEqual([], seen.take_rows('engine', 1_200))
        placing.add_rows('engine', rows, 90_000)
        self.assertEqual(report(250.0, 3, 1), placing.get(target).load)
        self.assertEqual(89_800, placing.get(target).seen_ms)
        self.assertTrue(placing.is_paced('engine', 90_000))
        self.assertEqual([], placing.take_rows('engine', 90_000))


def candidate(own=0, paced=100.0, age_ms=0, extra=0.0, running=0):
    sample = target_loads.Sample(
        load=model.LoadReport(running=running, waiting=0, slots=6, pace=paced),
        seen_ms=10_000 - age_ms,
    )
    return plain_choice.Candidate(
        own_running=own, slots=6, sample=sample, extra_ms=extra
    )


@ddt.ddt
class PlainChoiceTest(base.TestCase):
    def share(self, *candidates):
        """Return the share of choices that fall on the first candidate."""
        generator = random.Random(1)
        chosen = [
            plain_choice.choose(candidates, 22.5, generator, 10_000)
            for _ in range(200)
        ]
        return chosen.count(0) / len(chosen)

    @ddt.data(
        ('slow now', {'paced': 400.0}, 0.0, 0.0),
        ('slow long ago', {'paced': 400.0, 'age_ms': 5_000}, 0.3, 0.7),
        ('far away', {'extra': 24.0}, 0.0, 0.0),
        ('full by its report', {'running': 12}, 0.0, 0.0),
        ('full by own requests', {'own': 12}, 0.0, 0.0),
        ('nearly equal', {'paced': 105.0}, 0.3, 0.7),
    )
    @ddt.unpack
    def test_share_of_a_target_among_two(self, _, fields, least, most):
        """Load: plain calls to targets with slow periods.

        Guards against all instances following one report.
        """
        share = self.share(candidate(**fields), candidate())
        self.assertGreaterEqual(share, least)
        self.assertLessEqual(share, most)

    def test_nothing_is_chosen_without_candidates(self):
        self.assertIsNone(plain_choice.choose([], 20.0, random.Random(1), 0))

    def test_work_is_learnt_at_the_usual_pace(self):
        times = plain_choice.WorkTimes()
        for _ in range(200):
            times.record('s', 90.0, candidate(paced=400.0).sample)
        self.assertAlmostEqual(22.5, times.get('s'), delta=0.1)

    @ddt.data((100.0, 0, 100), (200.0, 0, 182.4), (200.0, 5_000, 100))
    @ddt.unpack
    def test_expected_time_of_work(self, paced, age_ms, expected):
        self.assertAlmostEqual(
            expected, pace.expected_ms(100.0, paced, age_ms), delta=0.5
        )


@ddt.ddt
class EffectTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = build.ManualClock(50_000)
        self.chooser = target_choice.TargetChooser('a1', build.ZONES)
        members = membership.Membership(build.instance('i0'), self.clock)
        members.replace([])
        self.engines = engines(5)
        directory = mock.Mock(targets={t.target_id: t for t in self.engines})
        directory.usable.return_value = self.engines
        self.timed = mock.Mock(wraps=new_placer(self.chooser.loads))
        self.placer = region_prompt_placer.RegionPromptPlacer(
            self.clock,
            members,
            build.FakeLinks(),
            directory,
            self.chooser,
            build.cold_targets(members, clock=self.clock),
            self.timed,
            {'engine': SERVICE}.get,
        )

    def play(self):
        """Place prompts; return the engines chosen and those of today."""
        generator = random.Random(4)
        today = prompt_placing.PromptPlacer()
        pairs = []
        for number in range(200):
            self.clock.now_ms += 10
            subject = prompt(f'r{number}', f's{generator.randrange(9)}')
            chosen = asyncio.run(self.placer.place('engine', subject, ()))
            expected = today.place(subject, self.engines, self.clock.now_ms)
            pairs.append((chosen.target_id, expected.target_id))
            for placer in (self.placer, today):
                placer.mark_read(f'r{number - 2}')
                placer.remove(f'r{number - 20}')
        return pairs

    @ddt.data(None, 10_001)
    def test_without_a_recent_pace_all_choices_are_those_of_tokens(self, age):
        """Guards against other choices at services with three figures."""
        if age is not None:
            now_ms = self.clock.now_ms
            self.chooser.record_paced_load(
                self.engines[0], report(300.0), now_ms - age
            )
        self.assertEqual(
            [], [pair for pair in self.play() if len({*pair}) > 1]
        )
        self.timed.place.assert_not_called()

    def test_prompts_go_by_time_once_another_instance_reports_a_pace(self):
        rows = [['e0', 1, 0, 0, 16, 300.0, 50]]
        self.placer._on_message(
            mock.Mock(), placement_messages.PromptEnded('x', 'engine', rows)
        )
        self.play()
        self.assertEqual(200, self.timed.place.call_count)

    @ddt.data((300_000, '', True), (100, 'e2', False))
    @ddt.unpack
    def test_an_answer_says_that_no_engine_has_memory(
        self, tokens, target_id, lacks_memory
    ):
        """Guards against a local placement beyond the engines' memory."""
        link = mock.Mock()
        row = ['e0', 1, 0, 0, 16, 100.0, 50]
        self.placer._on_message(
            link,
            placement_messages.PlacePrompt(
                7,
                'engine',
                'r0',
                [['s', 6_300], ['own', tokens]],
                '',
                0.0,
                [],
                output_tokens=50_000,
                loads=[row],
            ),
        )
        link.stream.send.assert_called_once_with(
            placement_messages.PromptPlaced(7, target_id, lacks_memory)
        )

    @ddt.data((True, calls.Limited), (False, calls.NotSent))
    @ddt.unpack
    def test_a_prompt_that_no_engine_has_memory_for_is_refused_at_once(
        self, has_pace, outcome
    ):
        """Guards against running the stages again for the same result."""
        if has_pace:
            self.chooser.record_paced_load(
                self.engines[0], report(100.0), self.clock.now_ms
            )
        selection = target_selection.TargetSelection(
            self.clock,
            mock.Mock(),
            mock.Mock(usable=lambda service: self.engines),
            self.chooser,
            self.placer,
            mock.Mock(refusing=lambda targets: set()),
            mock.Mock(refusal_wait_ms=lambda *_: 0.0),
        )
        call = mock.Mock(
            service='engine',
            excluded=set(),
            allowed_regions=None,
            request=mock.Mock(session_part=None, attempt_id='r0'),
        )
        self.assertIsInstance(selection.without_target(call), outcome)

    @ddt.data(None, 9.3)
    def test_settings_are_valid_with_and_without_a_reuse_window(self, value):
        """Guards against a template whose optional section breaks JSON."""
        text = TEMPLATE.read_text()
        section = r'{{#bounds\.(\w+)}}(.*?){{/bounds\.\1}}'
        kept = '' if value is None else r'\2'
        text = re.sub(section, kept, text, flags=re.DOTALL)
        text = re.sub(r'\[{{#zones}}.*?{{/zones}}\]', '[]', text)
        text = re.sub(r'"{{.*"', '"127.0.0.1:1"', text)
        text = re.sub(r'{{[^}]*}}', '"9.3"', text)
        bounds = json.loads(text)['bounds']
        self.assertEqual(value is not None, 'reuse_window_s' in bounds)
