"""Tests of the demonstration's callers."""

import asyncio
import itertools
import random

from aiohttp import test_utils
from aiohttp import web

from demo import load
from demo import verification
from tests import base

TRY_TIMEOUT_S = 0.3
DEADLINE_MS = 300
ANSWER_LATE_BY_MS = 150
PROBLEM = {'type': 'urn:sycamorebeam:problem:deadline', 'outcome': 'partial'}


async def answer_at_the_deadline(request):
    """Respond a little after the deadline, as an instance under load does."""
    deadline_ms = int(request.headers['Deadline-Ms'])
    await asyncio.sleep((deadline_ms + ANSWER_LATE_BY_MS) / 1000)
    return web.json_response(
        PROBLEM, status=504, content_type='application/problem+json'
    )


def new_request():
    return verification.CallerRequest(
        pipeline='note', team='crew', input={}, deadline_ms=DEADLINE_MS
    )


class SendWithRetriesTest(base.NetworkTestCase):
    async def test_last_try_waits_for_the_answer_at_the_deadline(self):
        app = web.Application()
        path = '/v1/pipelines/{name}/requests'
        app.router.add_post(path, answer_at_the_deadline)
        async with test_utils.TestServer(app, host='127.0.0.1') as server:
            balancer = load.Balancer([f'127.0.0.1:{server.port}'])
            requests = await load.send_requests(
                balancer,
                itertools.repeat(new_request()),
                1.0,
                0.001,
                random.Random(1),
                TRY_TIMEOUT_S,
            )
        self.assertEqual([PROBLEM], [request.problem for request in requests])
