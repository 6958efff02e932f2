"""Many calls under random faults: what was told against what ran."""

import asyncio
import random

import ddt

from sycamorebeam.clients import results
from sycamorebeam.standins import batch
from sycamorebeam.standins import pool
from tests import base
from tests import target_case

CALLS = 300
AT_ONCE = 12
SEEDS = (1, 2)
FAULTS = (
    'errors',
    'hang',
    'early_end',
    'cut',
    'wrong_id',
    'wrong_digest',
    'late',
    'doubled',
    'shuffled',
    'gap',
    'refuse',
    'silent',
    'silent_all',
    'stall',
    'drop',
)


def output_of(kind, attempt_id):
    """Return the only right output for an attempt."""
    prompt = f'prompt of {attempt_id}'
    inputs = {'prompt': prompt, 'key': attempt_id}
    if kind is target_case.POOL:
        return pool.compute('encode', inputs)
    if kind is target_case.SERVICE:
        return {'operation': 'restart', 'done': True, 'input': inputs}
    return {'text': ''.join(batch.token('', prompt, i) for i in range(8))}


@ddt.ddt
class TargetLedgerTest(base.NetworkTestCase):
    """Each result keeps its promise, whatever faults come together."""

    async def call(self, fixture, randomness, gate, number):
        async with gate:
            if randomness.random() < 0.4:
                setattr(fixture.faults, randomness.choice(FAULTS), 1)
            tokens = []

            async def take(index, text):
                tokens.append((index, text))

            attempt_id = f'a{number}'
            found = await fixture.call(
                attempt_id,
                deadline_ms=400,
                receiver=take,
                fresh_connection=number % 3 == 0,
            )
            return attempt_id, found, tokens

    @ddt.data(
        *[
            (kind, seed)
            for kind in (
                target_case.ENGINE,
                target_case.POOL,
                target_case.SERVICE,
            )
            for seed in SEEDS
        ]
    )
    @ddt.unpack
    async def test_ledger(self, kind, seed):
        randomness = random.Random(seed)
        gate = asyncio.Semaphore(AT_ONCE)
        async with target_case.target_fixture(
            kind, seed=seed, work_ms=6
        ) as fixture:
            fixture.faults.late_by_ms = 100
            fixture.faults.doubled_after_ms = 3
            calls = [
                self.call(fixture, randomness, gate, number)
                for number in range(CALLS)
            ]
            entries = await asyncio.gather(*calls)
            kinds = {type(found) for _, found, _ in entries}
            self.assertEqual(3, len(kinds), kinds)
            for attempt_id, found, tokens in entries:
                runs = len(fixture.runs.of_id(attempt_id))
                self.check(kind, attempt_id, found, tokens, runs)

    def check(self, kind, attempt_id, found, tokens, runs):
        told = (attempt_id, found)
        self.assertLessEqual(runs, 1, told)
        right = output_of(kind, attempt_id)
        text = ''.join(text for _, text in tokens)
        self.assertEqual(list(range(len(tokens))), [i for i, _ in tokens])
        self.assertTrue(right.get('text', '').startswith(text), told)
        match found:
            case results.TargetAnswer(output=output):
                self.assertEqual((right, 1), (output, runs), told)
            case results.TargetNotRun():
                self.assertEqual((0, []), (runs, tokens), told)
