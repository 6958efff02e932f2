"""Tests of which prompt parts are blamed for crashes of engines."""

import ddt

from sycamorebeam.forwarding import crashing_parts
from sycamorebeam.forwarding import target_crashes
from tests import base

UNTIL_TRIAL_MS = crashing_parts.FIRST_BLOCK_MS


def crash(parts, engine, sent_ms, crashed_ms, now_ms=None, others=()):
    """Record a crash with one unanswered prompt, or several."""
    return parts.record_crash(
        (engine, 1),
        crashed_ms,
        [
            target_crashes.UnansweredPrompt('r', tuple(part_ids), sent_ms)
            for part_ids in others or [('system', 'bad', engine)]
        ],
        crashed_ms if now_ms is None else now_ms,
    )


def survive(parts, part_ids, at_ms):
    return parts.record_survival(part_ids, at_ms)


def block(parts, start_ms=0):
    """Let three crashes in a row block the part ``bad``."""
    survive(parts, ['system'], start_ms)
    for number in range(3):
        at_ms = start_ms + 1_000 * (number + 1)
        crash(parts, f'e{number}', at_ms - 500, at_ms)
    return at_ms


@ddt.ddt
class CrashingPartsTest(base.TestCase):
    @ddt.data(
        # Times at which a prompt was sent and crashed an engine.
        ('three in a row', [(0, 1), (2, 3), (4, 5)], {'bad'}),
        ('two after one another', [(0, 1), (2, 3)], set()),
        ('all at once', [(0, 9)] * 8, set()),
        ('all at once, then another', [(0, 9)] * 4 + [(10, 11)], {'bad'}),
        ('two at once, then another', [(0, 9), (1, 9), (10, 11)], {'bad'}),
        ('overlapping', [(0, 5), (1, 6), (2, 7), (3, 8)], set()),
    )
    @ddt.unpack
    def test_a_part_is_blocked_after_successive_crashes(
        self, _, times, blocked
    ):
        parts = crashing_parts.CrashingParts()
        survive(parts, ['system'], 0)
        for number, (sent_ms, crashed_ms) in enumerate(times):
            crash(parts, f'e{number}', sent_ms, crashed_ms)
        self.assertEqual(blocked, set(parts.blocks))

    def test_several_reports_of_one_crash_count_once(self):
        parts = crashing_parts.CrashingParts()
        for number in range(8):
            crash(parts, 'e0', 10 * number, 10 * number + 5)
        self.assertEqual({}, parts.blocks)

    @ddt.data('before', 'between')
    def test_a_part_whose_prompts_are_answered_is_not_blocked(self, when):
        parts = crashing_parts.CrashingParts()
        for number in range(4):
            if when == 'between' or not number:
                survive(parts, ['system', 'bad'], 10 * number)
            crash(parts, f'e{number}', 10 * number + 1, 10 * number + 5)
        self.assertEqual({}, parts.blocks)

    def test_a_part_that_begins_to_crash_engines_is_blocked_later(self):
        parts = crashing_parts.CrashingParts()
        survive(parts, ['bad', 'system'], 0)
        for number in range(5):
            if number:
                survive(parts, ['system'], 10 * number)
            self.assertEqual({}, parts.blocks)
            crash(parts, f'e{number}', 10 * number + 1, 10 * number + 5)
        self.assertEqual({'bad'}, set(parts.blocks))

    @ddt.data(
        ('system',), ('other', 'document'), ('system', 'document'), ('e0',)
    )
    def test_prompts_that_share_other_parts_are_not_blocked(self, part_ids):
        parts = crashing_parts.CrashingParts()
        for number in range(6):
            crash(
                parts,
                f'e{number}',
                1_000 * number,
                1_000 * number + 5,
                others=[
                    ('system', 'bad', f'document-{number}'),
                    ('system', 'document'),
                ],
            )
            survive(parts, ['system', 'document'], 1_000 * number + 8)
        now_ms = 6_000
        self.assertEqual({'bad'}, set(parts.blocks))
        self.assertEqual(0, parts.wait_ms(part_ids, now_ms, may_try=False))
        self.assertGreater(parts.wait_ms(['bad'], now_ms, may_try=False), 0)

    def test_of_equally_suspect_parts_the_last_is_blocked(self):
        parts = crashing_parts.CrashingParts()
        for number in range(3):
            crash(
                parts,
                f'e{number}',
                10 * number,
                10 * number + 5,
                others=[('system', 'bad')],
            )
        self.assertEqual({'bad'}, set(parts.blocks))

    def test_two_parts_that_crash_engines_are_both_blocked(self):
        parts = crashing_parts.CrashingParts()
        survive(parts, ['system'], 0)
        for number in range(8):
            part_id = f'bad-{number % 2}'
            if part_id in parts.blocks:
                continue
            crash(
                parts,
                f'e{number}',
                10 * number,
                10 * number + 5,
                others=[('system', part_id)],
            )
        self.assertEqual({'bad-0', 'bad-1'}, set(parts.blocks))

    def test_one_instance_tries_one_prompt_after_a_time(self):
        parts = crashing_parts.CrashingParts()
        end_ms = block(parts) + UNTIL_TRIAL_MS
        waits = [
            parts.wait_ms(['bad'], end_ms - 1, may_try=True),
            parts.wait_ms(['bad'], end_ms, may_try=False),
            parts.wait_ms(['bad'], end_ms, may_try=True),
        ]
        self.assertEqual([True, True, False], [wait > 0 for wait in waits])
        parts.begin_trial(['system', 'bad'], end_ms)
        self.assertGreater(parts.wait_ms(['bad'], end_ms, may_try=True), 0)
        late_ms = end_ms + crashing_parts.TRIAL_TIMEOUT_MS
        self.assertEqual(0, parts.wait_ms(['bad'], late_ms, may_try=True))

    def test_a_trial_that_crashes_an_engine_prolongs_the_block(self):
        parts = crashing_parts.CrashingParts()
        end_ms = block(parts) + UNTIL_TRIAL_MS
        parts.begin_trial(['bad'], end_ms)
        crash(parts, 'e9', end_ms, end_ms + 300)
        self.assertEqual(
            UNTIL_TRIAL_MS * crashing_parts.BLOCK_GROWTH,
            parts.wait_ms(['bad'], end_ms + 300, may_try=True),
        )

    def test_a_prompt_sent_before_the_block_does_not_prolong_it(self):
        parts = crashing_parts.CrashingParts()
        now_ms = block(parts)
        crash(parts, 'e9', now_ms - 1, now_ms + 300)
        self.assertEqual(
            UNTIL_TRIAL_MS, parts.wait_ms(['bad'], now_ms, may_try=True)
        )

    def test_an_answered_prompt_ends_the_block(self):
        parts = crashing_parts.CrashingParts()
        now_ms = block(parts)
        cleared = survive(parts, ['system', 'bad', 'other'], now_ms)
        self.assertEqual(['system', 'bad'], cleared)
        self.assertEqual(0, parts.wait_ms(['bad'], now_ms, may_try=False))

    @ddt.data(('unknown', True), ('answered here', False))
    @ddt.unpack
    def test_blocks_of_others_hold_for_parts_unknown_here(self, case, adopted):
        parts = crashing_parts.CrashingParts()
        if case == 'answered here':
            survive(parts, ['bad'], 0)
        self.assertEqual(adopted, parts.adopt('bad', 5_000, 30_000, 10))
        self.assertEqual(adopted, 'bad' in parts.blocks)

    @ddt.data(('longer', 120_000, True), ('the same', 30_000, False))
    @ddt.unpack
    def test_the_longer_of_two_blocks_holds(self, _, duration_ms, adopted):
        parts = crashing_parts.CrashingParts()
        parts.adopt('bad', 5_000, 30_000, 0)
        self.assertEqual(
            adopted, parts.adopt('bad', duration_ms, duration_ms, 10)
        )
        wait_ms = parts.wait_ms(['bad'], 10, may_try=True)
        self.assertEqual(duration_ms if adopted else 4_990, wait_ms)

    def test_what_is_kept_is_bounded(self):
        parts = crashing_parts.CrashingParts()
        for number in range(2 * crashing_parts.MAX_PARTS_KEPT):
            survive(parts, [f'p{number}'], number)
        for number in range(3 * crashing_parts.MAX_BLOCKED_PARTS):
            crash(parts, f'e{number}', 0, 1, others=[(f'q{number}',)])
            parts.adopt(f'b{number}', 1, 1, 1)
        self.assertLessEqual(
            len(parts._survived_ms), crashing_parts.MAX_PARTS_KEPT
        )
        self.assertLessEqual(
            len(parts._crashes), crashing_parts.MAX_CRASHES_KEPT
        )
        self.assertLessEqual(
            len(parts._suspects), crashing_parts.MAX_CRASHES_KEPT
        )
        self.assertLessEqual(
            len(parts.blocks), crashing_parts.MAX_BLOCKED_PARTS
        )
