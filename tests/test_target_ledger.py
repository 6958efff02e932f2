"""Tests that results agree with the runs of targets under random faults."""

import asyncio
import random

import ddt

from sycamorebeam.clients import results
from sycamorebeam.standins import batch
from sycamorebeam.standins import pool
from tests import base
from tests import target_case

CALLS = 300
MAX_CONCURRENT_CALLS = 12
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
    """Return the correct output of an attempt."""
    prompt = f'prompt of {attempt_id}'
    inputs = {'prompt': prompt, 'key': attempt_id}
    if kind is target_case.POOL:
        return pool.compute('encode', inputs)
    if kind is target_case.SERVICE:
        return {'operation': 'restart', 'done': True, 'input': inputs}
    return {'text': ''.join(batch.token('', prompt, i) for i in range(8))}


@ddt.ddt
class TargetLedgerTest(base.NetworkTestCase):
    """Compares results with runs for any combination of faults."""

    async def call(self, fixture, randomness, semaphore, number):
        async with semaphore:
            if randomness.random() < 0.4:
                setattr(fixture.faults, randomness.choice(FAULTS), 1)
            tokens = []

            async def receive(index, text):
                tokens.append((index, text))

            attempt_id = f'a{number}'
            result = await fixture.call(
                attempt_id,
                deadline_ms=400,
                receiver=receive,
                fresh_connection=number % 3 == 0,
            )
            return attempt_id, result, tokens

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
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        async with target_case.target_fixture(
            kind, seed=seed, work_ms=6
        ) as fixture:
            fixture.faults.late_by_ms = 100
            fixture.faults.doubled_after_ms = 3
            calls = [
                self.call(fixture, randomness, semaphore, number)
                for number in range(CALLS)
            ]
            call_results = await asyncio.gather(*calls)
            kinds = {type(result) for _, result, _ in call_results}
            self.assertEqual(3, len(kinds), kinds)
            for attempt_id, result, tokens in call_results:
                runs = len(fixture.runs.of_id(attempt_id))
                self.check_call(kind, attempt_id, result, tokens, runs)

    def check_call(self, kind, attempt_id, result, tokens, runs):
        context = (attempt_id, result)
        self.assertLessEqual(runs, 1, context)
        correct = output_of(kind, attempt_id)
        text = ''.join(text for _, text in tokens)
        self.assertEqual(list(range(len(tokens))), [i for i, _ in tokens])
        self.assertTrue(correct.get('text', '').startswith(text), context)
        match result:
            case results.TargetAnswer(output=output):
                self.assertEqual((correct, 1), (output, runs), context)
            case results.TargetNotRun():
                self.assertEqual((0, []), (runs, tokens), context)
