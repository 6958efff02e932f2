"""Tests of what the platform tells about cold targets, and of settings."""

import json
import pathlib
import re

import ddt

from sycamorebeam.forwarding import instance_settings
from sycamorebeam.forwarding import shared_rows
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.cold_targets import rate_shares
from sycamorebeam.platform import desired_state
from sycamorebeam.platform import http_codec
from sycamorebeam.platform import target_records
from tests import base
from tests.forwarding import test_platform_formats

BOUNDS = rate_shares.Bounds(overshoot=1.5, tolerance=5.0)
ROOT = pathlib.Path(__file__).parents[2]


@ddt.ddt
class FormatsTest(base.TestCase):
    def test_the_cold_fields_of_a_service_are_decoded(self):
        service = {'name': 'x', 'cold_start_s': 3.0, 'cold_per_s': 8.3}
        state = {**test_platform_formats.STATE, 'services': [service]}
        decoded = desired_state.decode(json.dumps(state).encode())
        self.assertEqual(8.3, decoded.services['x'].cold_per_s)
        self.assertEqual(3.0, decoded.services['x'].cold_start_s)

    @ddt.data((1_200, 1_200.0), (None, 0.0), ('x', 0.0), (-1, 0.0))
    @ddt.unpack
    def test_the_cold_time_of_an_entry_is_decoded(self, value, expected):
        """It reaches the instances that read the store through others."""
        record = {**test_platform_formats.RECORD, 'cold_remaining_ms': value}
        target = target_records.decode('t', json.dumps(record).encode())
        self.assertEqual(expected, target.cold_remaining_ms)
        entry = target_directory.TargetEntry('t', target)
        rows = shared_rows.target_rows([entry])
        self.assertEqual((entry,), shared_rows.target_entries(rows))

    @ddt.data((200, '900', 900.0), (200, 'x', None), (421, '900', None))
    @ddt.unpack
    def test_the_cold_time_of_an_answer_is_decoded(self, status, text, cold):
        feedback = http_codec.decode_answer_head(
            test_platform_formats.RawAnswer(
                status, (('X-Cold-Start-Ms', text),)
            )
        ).feedback
        self.assertEqual(cold, feedback.cold_ms)

    @ddt.data((False, None), (True, BOUNDS))
    @ddt.unpack
    def test_the_settings_have_optional_bounds(self, is_given, expected):
        """A platform that gives no value must get valid settings too."""
        text = (ROOT / 'deploy/settings.json.template').read_text()
        for pattern, replacement in (
            (r'{{#zones}}.*?{{/zones}}', '{"name": "a1", "region": "north"}'),
            (r'(?s){{#(bounds.*?)}}(.*?){{/\1}}', r'\2' if is_given else ''),
            (r'{{bounds.cold_overshoot.*?}}', '1.5'),
            (r'{{bounds.cold_tolerance.*?}}', '5'),
            (r'"{{ip}}.*"|{{(listen|platform).*?}}', '"127.0.0.1:1"'),
            (r'{{(node_name|zone|region)\|json}}', '"a1"'),
            (r'{{bounds.strict_revocation\|json}}', 'true'),
            (r'{{[a-z_.]*\|json}}', '1'),
        ):
            text = re.sub(pattern, replacement, text)
        path = pathlib.Path(self.make_temp_dir(), 'settings.json')
        path.write_text(text)
        loaded = instance_settings.load(str(path))
        self.assertEqual(expected, loaded.bounds.cold_bounds)
