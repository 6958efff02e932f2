"""Tests of decoding and encoding the platform's formats."""

import json
import math
from unittest import mock

import attrs
import ddt

from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import stages
from sycamorebeam.platform import desired_state
from sycamorebeam.platform import http_codec
from sycamorebeam.platform import target_records
from sycamorebeam.platform import unreadable_forms
from tests import base
from tests.forwarding import build

ROUTE = {
    'name': 'r',
    'hostname': 'H.example',
    'path_prefix': '/p/',
    'route_kind': 'streaming',
    'timeout_ms': 5_000,
    'target_latency_ms': 1_600,
    'gap_aim_ms': 300,
    'priority': 2,
    'service': 'engine',
    'max_attempts': 2,
    'stages': [
        {'service': 'desk', 'after': [], 'size_bytes': 8_000},
        {'service': 'crew', 'after': [0], 'size_bytes': 60_000},
    ],
    'public': False,
    'session_affinity': True,
    'stream_resumption': True,
}
SEGMENTS = {
    'slots': 1,
    'queue': 2,
    'batch': 8,
    'call_duration_ms': 150.0,
    'item_duration_ms': 16.25,
    'headroom_mb': 51.2,
    'handle_ttl_s': 4.0,
    'link_mbps': 10_000,
}
STATE = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {'name': 'engine', 'connection_limit': 610, 'inference_engine': {}},
        {'name': 'desk', 'connection_limit': 610, 'segments': SEGMENTS},
    ],
    'limits': {},
    'tenants': [{'name': 'crew', 'api_keys': ['k1', 'k2'], 'priority': 0}],
}
RECORD = {
    'service': 'engine',
    'address': '10.0.0.9:8080',
    'zone': 'a1',
    'version': 'v1',
    'slots': 128,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 4,
    'born': 1_700_000_000_000,
}


def without(record, key):
    return {name: record[name] for name in record if name != key}


@ddt.ddt
class DesiredStateTest(base.TestCase):
    def test_every_field_is_decoded(self):
        state = desired_state.decode(json.dumps(STATE).encode())
        self.assertEqual(7, state.version)
        self.assertEqual(
            build.route(
                kind=model.Kind.STREAM,
                timeout_ms=5_000.0,
                latency_objective_ms=1_600.0,
                longest_pause_ms=300.0,
                rank=2,
                is_resumable=True,
                stages=(
                    model.Stage(service='desk', after=(), result_bytes=8_000),
                    model.Stage(
                        service='crew', after=(0,), result_bytes=60_000
                    ),
                ),
            ),
            state.routes[0],
        )
        self.assertTrue(state.services['engine'].has_engine)
        self.assertEqual(
            build.batching(item_ms=16.25, memory_bytes=51_200_000.0),
            state.services['desk'].batching,
        )
        self.assertEqual(
            {'k1', 'k2'},
            {
                k
                for k, team in state.team_of_key.items()
                if team.name == 'crew'
            },
        )
        self.assertTrue(state.has_teams)

    @ddt.data(
        ({}, None),
        (True, None),
        (
            {'slots': 16, 'kv_cache_tokens': 323_291},
            model.Engine(slots=16, kv_cache_tokens=323_291),
        ),
        ({'slots': 'x', 'kv_cache_tokens': -1}, model.Engine()),
    )
    @ddt.unpack
    def test_bounds_of_engines_are_decoded(self, item, expected):
        service = {'name': 'engine', 'inference_engine': item}
        state = desired_state.decode(
            json.dumps({**STATE, 'services': [service]}).encode()
        )
        self.assertEqual(expected, state.services['engine'].engine)

    def test_a_traffic_split_decodes_to_its_services(self):
        split = [
            {'service': 'a', 'weight': 90},
            {'service': 'b', 'weight': 10},
        ]
        route = {**without(ROUTE, 'service'), 'traffic_split': split}
        state = desired_state.decode(
            json.dumps({**STATE, 'routes': [route]}).encode()
        )
        self.assertEqual(
            ['a', 'b'], [item.service for item in state.routes[0].split]
        )

    def test_without_tenants_there_are_no_teams(self):
        state = desired_state.decode(
            json.dumps(without(STATE, 'tenants')).encode()
        )
        self.assertFalse(state.has_teams)

    @ddt.data(
        b'',
        b'\xff\xfe',
        b'[]',
        b'{"version": 1}',
        json.dumps({**STATE, 'routes': [without(ROUTE, 'hostname')]}).encode(),
        json.dumps(
            {**STATE, 'routes': [{**ROUTE, 'route_kind': 'other'}]}
        ).encode(),
        json.dumps(
            {**STATE, 'routes': [{**ROUTE, 'timeout_ms': 10**400}]}
        ).encode(),
        b'[' * 200_000,
    )
    def test_invalid_states_are_refused(self, data):
        with self.assertRaisesRegex(ValueError, 'publish a valid version'):
            desired_state.decode(data)


@ddt.ddt
class TargetRecordTest(base.TestCase):
    def test_every_field_is_decoded(self):
        self.assertEqual(
            build.target(
                'i-1',
                address='10.0.0.9:8080',
                incarnation=1_700_000_000_000,
                slots=128,
            ),
            target_records.decode('i-1', json.dumps(RECORD).encode()),
        )

    @ddt.data(
        b'',
        b'\xff',
        b'[]',
        b'null',
        *(
            json.dumps(without(RECORD, key)).encode()
            for key in ('service', 'address', 'zone', 'slots', 'state')
        ),
        *(
            json.dumps({**RECORD, **wrong}).encode()
            for wrong in (
                {'state': 'odd'},
                {'state': None},
                {'address': '10.0.0.9'},
                {'address': 5},
                {'service': ['engine']},
                {'slots': '128'},
                {'born': '1700'},
                {'born': 1.5},
                {'born': 2**64},
                {'born': -1},
                {'slots': 10**400},
                {'slots': -1},
                {'slots': math.nan},
                {'slots': math.inf},
                {'address': '10.0.0.9:65536'},
                {'address': '10.0.0.9:0'},
                {'address': '10.0.0.9:' + '9' * 400},
                {'zone': '\ud800'},
                {'service': '\ud800'},
            )
        ),
        b'[' * 200_000,
        b'{"zone":' * 200_000,
        json.dumps(RECORD).replace('128', '1' * 5_000).encode(),
        json.dumps(RECORD).replace('128', '1e999').encode(),
    )
    def test_an_invalid_record_has_no_target(self, data):
        self.assertIsNone(target_records.decode('i-1', data))

    def test_a_draining_target_is_decoded(self):
        data = json.dumps({**RECORD, 'state': 'draining'}).encode()
        self.assertTrue(target_records.decode('i-1', data).is_draining)


HEADERS = [
    ('Host', 'h.example'),
    ('X-Attempt-Id', 'id-1'),
    ('X-Model', 'm'),
    ('X-Token-Usage', '1460,80'),
    ('X-Prompt-Prefix', 'aa:800,bb:410,cc:250'),
    ('X-Deadline-Ms', '6000'),
    ('X-Credential', 'k1'),
    ('X-Chunks', '1,0,16'),
    ('X-Chunk-Key', 'key'),
]


def decode(headers):
    return http_codec.decode_request(
        method='POST',
        path='/p/x?y=1',
        headers=headers,
        body=b'b',
        arrived_ms=5,
    )


def forwarded(headers, **fields):
    values = {'remaining_ms': 900, 'team': 'crew', 'rank': 1}
    send = requests.SendParameters(**{**values, **fields})
    return http_codec.target_headers(decode(headers), 'i-1', send)


@ddt.ddt
class RequestTest(base.TestCase):
    def test_a_request_is_decoded(self):
        request = decode([*HEADERS, ('Last-Event-Id', '7')])
        self.assertEqual('id-1', request.attempt_id)
        self.assertEqual(6_000.0, request.deadline_ms)
        self.assertEqual('k1', request.key)
        self.assertEqual((1, 0, 16), request.item_counts)
        self.assertEqual('key', request.item_key)
        self.assertEqual(requests.PromptPart('bb', 410), request.session_part)
        self.assertEqual('7', request.last_event_id)
        self.assertEqual(requests.TokenUsage(1460, 80), request.token_usage)

    @ddt.data('x', '1', '1,2,3', '-1,2')
    def test_an_unreadable_token_usage_is_ignored(self, text):
        request = decode([('X-Token-Usage', text)])
        self.assertIsNone(request.token_usage)

    @ddt.data(
        'X-Tenant',
        'X-Credential',
        'X-Deadline-Ms',
        'X-Expected-Instance',
        'X-Request-Priority',
        'X-Cache-Retention',
        'X-Pin-Ms',
        'X-Kv-Backup',
        'X-Input-Items',
        'Kv-From',
        'Kv-Fetch',
        'Last-Event-Id',
    )
    def test_reserved_headers_of_callers_are_not_forwarded(self, name):
        sent = forwarded([*HEADERS, (name, '4242')], team=None)
        self.assertNotIn('4242', [value for _, value in sent])

    @ddt.data(
        ('Connection', 'keep-alive, X-Odd', 'Connection'),
        ('Transfer-Encoding', 'chunked', 'Transfer-Encoding'),
        ('TE', 'trailers', 'TE'),
        ('Content-Length', '5', 'Content-Length'),
        ('Upgrade', 'h2c', 'Upgrade'),
    )
    @ddt.unpack
    def test_connection_headers_are_not_forwarded(self, name, value, absent):
        sent = forwarded([*HEADERS, (name, value), ('X-Odd', '1')])
        self.assertNotIn(absent, [header for header, _ in sent])

    def test_headers_listed_in_connection_are_not_forwarded(self):
        sent = dict(
            forwarded([*HEADERS, ('Connection', 'x-odd'), ('X-Odd', '1')])
        )
        self.assertNotIn('X-Odd', sent)

    def test_other_headers_are_forwarded_unchanged(self):
        sent = forwarded([*HEADERS, ('X-Other', 'a'), ('X-Other', 'b')])
        self.assertEqual(
            ['a', 'b'], [value for name, value in sent if name == 'X-Other']
        )
        for name in ('X-Attempt-Id', 'X-Model', 'X-Prompt-Prefix', 'Host'):
            self.assertEqual(dict(HEADERS)[name], dict(sent)[name])

    @ddt.data(
        ({}, 'X-Input-Items', None),
        ({'results': ()}, 'X-Input-Items', ''),
        ({'results': ('a', 'b')}, 'X-Input-Items', 'a,b'),
        ({'last_event_id': '7'}, 'Last-Event-Id', '7'),
        ({'rank': 12}, 'X-Request-Priority', '9'),
        ({'team': None}, 'X-Tenant', None),
        ({}, 'X-Tenant', 'crew'),
        ({}, 'X-Deadline-Ms', '900'),
        ({}, 'X-Expected-Instance', 'i-1'),
    )
    @ddt.unpack
    def test_headers_that_the_system_sets(self, fields, name, expected):
        self.assertEqual(
            expected, dict(forwarded(HEADERS, **fields)).get(name)
        )

    @ddt.data(
        ('X-Deadline-Ms', 'soon'),
        ('X-Deadline-Ms', 'nan'),
        ('X-Deadline-Ms', '-1'),
        ('X-Chunks', '1,x'),
        ('X-Prompt-Prefix', 'aa'),
    )
    @ddt.unpack
    def test_malformed_values_are_refused(self, name, value):
        headers = [pair for pair in HEADERS if pair[0] != name]
        with self.assertRaises(ValueError):
            decode([*headers, (name, value)])


@attrs.frozen
class RawAnswer:
    status: int
    headers: tuple


@ddt.ddt
class AnswerHeadTest(base.TestCase):
    @ddt.data(
        (200, [], True),
        (500, [], True),
        (503, [], True),
        (503, [('X-Not-Executed', '1')], False),
        (400, [('x-not-executed', '1')], False),
        (421, [], False),
    )
    @ddt.unpack
    def test_only_the_target_marks_a_request_as_not_executed(
        self, status, headers, is_executed
    ):
        head = http_codec.decode_answer_head(RawAnswer(status, tuple(headers)))
        self.assertEqual(is_executed, head.is_executed)

    @ddt.data(
        ('3,0,8', (3, 0, 8, None)),
        ('3,1,8,250', (3, 1, 8, 250.0)),
        ('3,1,8,99.5', (3, 1, 8, 99.5)),
        ('3', None),
        ('a,b,c', None),
        ('3,0,8,', None),
        ('3,0,8,0', None),
        ('3,0,8,nan', None),
        ('3,0,8,inf', None),
        ('3,0,8,100,1', None),
    )
    @ddt.unpack
    def test_a_reported_load_is_decoded(self, text, expected):
        answer = RawAnswer(200, (('X-Instance-Load', text),))
        head = http_codec.decode_answer_head(answer)
        load = head.load and attrs.astuple(head.load)
        self.assertEqual(expected, load)
        self.assertIs(head.load, head.feedback.load)

    def test_unreadable_forms_are_logged_once_and_bounded(self):
        """Guards against a line for every answer of a target."""
        forms = unreadable_forms.UnreadableForms('load_unreadable')
        with mock.patch.object(
            telemetry, 'log_event', autospec=True
        ) as log_event:
            for number in range(100):
                forms.log(f'{number},x')
            self.assertEqual(1, log_event.call_count)
            for number in range(100):
                forms.log('x' * number)
            self.assertEqual(unreadable_forms.MAX_FORMS, log_event.call_count)

    @ddt.data(
        (200, {}, False, 0.0),
        (200, {'server-leaving': '1'}, True, 0.0),
        (503, {'Server-Leaving': '1'}, True, 0.0),
        (200, {'Server-Leaving': '0'}, False, 0.0),
        # Another target answered, without its id.
        (421, {'Server-Leaving': '1'}, False, 0.0),
        (503, {'Retry-After': '2'}, False, 2_000.0),
        (503, {'Retry-After': '0.25'}, False, 250.0),
        (429, {'Retry-After': '1'}, False, 1_000.0),
        (200, {'Retry-After': '1'}, False, 0.0),
        (503, {'Retry-After': '-1'}, False, 0.0),
        (503, {'Retry-After': 'nan'}, False, 0.0),
        (503, {'Retry-After': ''}, False, 0.0),
        (503, {'Retry-After': 'Wed, 21 Oct 2026 07:28:00 GMT'}, False, 0.0),
    )
    @ddt.unpack
    def test_feedback(self, status, headers, is_leaving, backoff_ms):
        answer = RawAnswer(status, tuple(headers.items()))
        feedback = http_codec.decode_answer_head(answer).feedback
        self.assertEqual(
            (is_leaving, backoff_ms),
            (feedback.is_leaving, feedback.backoff_ms),
        )

    @ddt.data(
        (200, {}, model.UNLIMITED),
        (200, {'server-limit': '1.3'}, 1.3),
        (503, {'Server-Limit': '12'}, 12.0),
        (200, {'Server-Limit': '0'}, 0.0),
        # Another target answered, without its id.
        (421, {'Server-Limit': '1'}, None),
        (200, {'Server-Limit': 'few'}, None),
        (200, {'Server-Limit': '-1'}, None),
        (200, {'Server-Limit': 'nan'}, None),
        (200, {'Server-Limit': 'inf'}, None),
    )
    @ddt.unpack
    def test_a_rate_limit_is_decoded(self, status, headers, requests_per_s):
        answer = RawAnswer(status, tuple(headers.items()))
        feedback = http_codec.decode_answer_head(answer).feedback
        self.assertEqual(requests_per_s, feedback.requests_per_s)

    def test_connection_headers_are_dropped_and_the_signature_kept(self):
        head = http_codec.decode_answer_head(
            RawAnswer(
                200,
                (
                    ('X-Server-Signature', 's'),
                    ('Keep-Alive', 'timeout=5'),
                    ('Connection', 'close'),
                    ('Content-Length', '3'),
                ),
            )
        )
        self.assertEqual((('X-Server-Signature', 's'),), head.headers)
        self.assertTrue(head.is_signed)


class FakeAnswer:
    def __init__(self, status, body, headers=()):
        self.status = status
        self.headers = tuple(headers)
        self.body = body

    async def read_body(self):
        return self.body

    def close(self):
        pass


class FakeClient:
    def __init__(self, answer):
        self.answer = answer
        self.sent = []

    async def open(
        self, address, method, path, headers, body, before_send=None
    ):
        self.sent.append((address, method, path, headers, json.loads(body)))
        return self.answer


@ddt.ddt
class StageCallTest(base.TestCase):
    ITEMS = (
        stages.TimedItem(stages.Work('r1', 0, 'k', False, ()), 2, 900),
        stages.TimedItem(stages.Work('r2', 2, 'k', True, ('h1',)), 0, 800),
    )

    async def call(self, answer):
        client = FakeClient(answer)
        calls = http_codec.StageClient(client)
        result = await calls.run('1.2.3.4:5', 'i-1', list(self.ITEMS))
        return result, client.sent[0]

    async def test_items_are_encoded(self):
        body = {'entries': [{'handle': 'h2'}, {'reason': 'gone'}]}
        result, sent = await self.call(
            FakeAnswer(200, json.dumps(body).encode())
        )
        self.assertEqual(
            [
                {
                    'id': 'r1',
                    'phase': 0,
                    'segment': 2,
                    'remaining_ms': 900,
                    'key': 'k',
                },
                {
                    'id': 'r2',
                    'phase': 2,
                    'segment': 0,
                    'remaining_ms': 800,
                    'input_handles': ['h1'],
                },
            ],
            sent[4]['entries'],
        )
        self.assertIn(('X-Expected-Instance', 'i-1'), sent[3])
        self.assertEqual(
            (
                stages.Produced('h2'),
                stages.NotProduced(stages.FailureReason.INPUT_GONE),
            ),
            result.results,
        )

    @ddt.data((503, False, model.UNLIMITED), (421, True, None))
    @ddt.unpack
    async def test_a_call_that_was_not_executed_is_declined(
        self, status, is_gone, requests_per_s
    ):
        answer = FakeAnswer(status, b'', [('X-Not-Executed', '1')])
        result, _ = await self.call(answer)
        feedback = model.Feedback(requests_per_s=requests_per_s)
        self.assertEqual(stages.CallDeclined(is_gone, feedback), result)

    async def test_feedback_comes_with_each_kind_of_result(self):
        headers = [('Server-Leaving', '1'), ('X-Not-Executed', '1')]
        for answer in (
            FakeAnswer(503, b'', headers),
            FakeAnswer(500, b'', headers[:1]),
            FakeAnswer(200, b'not json', headers[:1]),
        ):
            result, _ = await self.call(answer)
            self.assertTrue(result.feedback.is_leaving)

    @ddt.data(
        (500, b''),
        (200, b'not json'),
        (200, b'{"entries": []}'),
        (200, b'{"entries": [{}, {}]}'),
        (200, b'{"entries": [{"reason": "odd"}, {"handle": "h"}]}'),
    )
    @ddt.unpack
    async def test_an_unusable_answer_is_a_failed_call(self, status, body):
        result, _ = await self.call(FakeAnswer(status, body))
        self.assertIsInstance(result, stages.CallFailed)
