"""Tests of the idempotency filter and the outcomes that it reports."""

import attrs
import ddt

from sycamorebeam import answers
from sycamorebeam import claims
from sycamorebeam import clocks
from sycamorebeam.filters import chain
from sycamorebeam.filters import idempotency
from sycamorebeam.filters import not_run
from tests import base
from tests import claim_bench

Outcome = answers.Outcome
Kind = answers.ProblemKind
IDEMPOTENT = attrs.evolve(
    claim_bench.PIPELINE,
    stages=(attrs.evolve(claim_bench.STAGE, idempotent=True),),
)


def new_request(key='k', pipeline=claim_bench.PIPELINE, first=False):
    return chain.Request(
        request_id='r',
        pipeline_name='pump',
        body={},
        deadline=clocks.deadline_in(clocks.Clock(), 1_000),
        idempotency_key=key,
        first_attempt=first,
        pipeline=pipeline,
    )


class FakeClaims:
    """Returns ``result`` for each claim; keeps recorded outcomes."""

    def __init__(self, result=None):
        self.permit = claims.DispatchPermit('c', 0, b'k')
        self.result = result or claims.Owned(self.permit)
        self.claim_count = 0
        self.endings = []

    async def claim(self, key, digest, deadline_ms, first_attempt):
        self.claim_count += 1
        return self.result

    async def record(self, permit, outcome):
        self.endings.append(outcome)

    async def release(self, permit):
        proves_not_run = permit.proves_not_run
        if proves_not_run:
            self.endings.append('released')
        return proves_not_run


async def must_not_run(request):
    raise AssertionError('nothing may run')


@ddt.ddt
class IdempotencyFilterTest(base.TestCase):
    async def serve(self, fake, request, handler):
        filter_ = idempotency.new_idempotency_filter(fake, clocks.Clock())
        return await filter_(request, handler)

    @ddt.data(None, 'k')
    async def test_idempotent_pipelines_pass(self, key):
        fake = FakeClaims()

        async def run(request):
            return answers.Completed({})

        request = new_request(key, IDEMPOTENT)
        answer = await self.serve(fake, request, run)
        self.assertEqual(
            (answers.Completed({}), 0), (answer, fake.claim_count)
        )

    @ddt.data((None, Kind.KEY_REQUIRED), ('k' * 256, Kind.BAD_REQUEST))
    @ddt.unpack
    async def test_keys_are_checked(self, key, kind):
        fake = FakeClaims()
        answer = await self.serve(fake, new_request(key), must_not_run)
        self.assertEqual(
            (kind, Outcome.NOT_RUN), (answer.kind, answer.outcome)
        )
        self.assertEqual(0, fake.claim_count)

    @ddt.data(
        (claims.InProgress('c', 7), Kind.IN_PROGRESS, Outcome.IN_PROGRESS, 7),
        (
            claims.KeyMismatch(),
            Kind.KEY_MISMATCH,
            Outcome.ATTEMPT_NOT_RUN,
            None,
        ),
        (claims.KeyTooOld(), Kind.KEY_TOO_OLD, Outcome.ATTEMPT_NOT_RUN, None),
        (
            claims.ClaimFailed('down', False, 9),
            Kind.LOG_UNAVAILABLE,
            Outcome.ATTEMPT_NOT_RUN,
            9,
        ),
        (
            claims.ClaimFailed('down', True, 9),
            Kind.LOG_UNAVAILABLE,
            Outcome.NOT_RUN,
            9,
        ),
    )
    @ddt.unpack
    async def test_refusals(self, result, kind, outcome, retry_after_ms):
        answer = await self.serve(
            FakeClaims(result), new_request(), must_not_run
        )
        self.assertEqual(
            (kind, outcome, retry_after_ms),
            (answer.kind, answer.outcome, answer.retry_after_ms),
        )

    @ddt.data(
        # outcome of the run, permit used, refusal proved, first attempt,
        # reported outcome, whether the key is released
        (Outcome.NOT_RUN, False, False, True, Outcome.NOT_RUN, True),
        (Outcome.NOT_RUN, False, False, False, Outcome.ATTEMPT_NOT_RUN, True),
        (Outcome.NOT_RUN, True, True, True, Outcome.NOT_RUN, True),
        (Outcome.NOT_RUN, True, False, True, Outcome.UNKNOWN, False),
        (Outcome.ATTEMPT_NOT_RUN, True, False, True, Outcome.UNKNOWN, False),
        (Outcome.UNKNOWN, False, False, True, Outcome.UNKNOWN, True),
        (Outcome.UNKNOWN, True, False, True, Outcome.UNKNOWN, False),
        (Outcome.PARTIAL, True, False, False, Outcome.PARTIAL, False),
    )
    @ddt.unpack
    async def test_problems_of_the_run(
        self, ran, used, refused, first, reported, released
    ):
        fake = FakeClaims()

        async def run(request):
            if used:
                request.permit.use()
            if refused:
                request.permit.mark_refused()
            return claim_bench.problem(ran, 'target-7')

        answer = await self.serve(fake, new_request(first=first), run)
        self.assertEqual(reported, answer.outcome)
        stored = claims.RunOutcome(False, None, 'target-7')
        self.assertEqual(['released' if released else stored], fake.endings)

    @ddt.data((False, 'released'), (True, claims.RunOutcome(known=False)))
    @ddt.unpack
    async def test_a_failed_run_ends_its_claim(self, used, ended):
        fake = FakeClaims()

        async def run(request):
            if used:
                request.permit.use()
            raise ValueError('a fault')

        request = new_request()
        with self.assertRaisesRegex(ValueError, 'a fault'):
            await self.serve(fake, request, run)
        self.assertEqual([ended], fake.endings)


@ddt.ddt
class NotRunFilterTest(base.TestCase):
    @ddt.data(
        ('k', claim_bench.PIPELINE, False, Outcome.ATTEMPT_NOT_RUN),
        ('k', None, False, Outcome.ATTEMPT_NOT_RUN),
        ('k', claim_bench.PIPELINE, True, Outcome.NOT_RUN),
        ('k', IDEMPOTENT, False, Outcome.NOT_RUN),
        (None, claim_bench.PIPELINE, False, Outcome.NOT_RUN),
    )
    @ddt.unpack
    async def test_narrows_refusals_of_retries(
        self, key, pipeline, first, expected
    ):
        async def refuse(request):
            return claim_bench.problem(Outcome.NOT_RUN)

        request = new_request(key, pipeline, first)
        answer = await not_run.NotRunFilter()(request, refuse)
        self.assertEqual(expected, answer.outcome)
