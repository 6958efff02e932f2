"""Tests of the commands that read and change the catalogue."""

import json
import pathlib
import tempfile

import ddt
from typer import testing

from sycamorebeam import catalogue_records
from sycamorebeam import publishing
from sycamorebeam.cli import main
from tests import base
from tests import platform_thread

SAMPLES = pathlib.Path(__file__).parents[1] / 'samples'
KOVACIK = SAMPLES / 'kovacik' / 'catalogue.jsonc'
CEDARLINE = SAMPLES / 'cedarline' / 'catalogue.jsonc'
ENTRIES = 20


@ddt.ddt
class CatalogueCommandsTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.platform = platform_thread.PlatformThread()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def invoke(self, *args):
        log = ('--log', self.platform.log_url, '--output', 'json')
        completed = testing.CliRunner().invoke(main.app, [*args, *log])
        document = json.loads(completed.stdout) if completed.stdout else None
        return completed.exit_code, document

    def publish(self, path, *args):
        return self.invoke(
            'catalogue', 'publish', str(path), '--author', 'jana', *args
        )

    def edited(self, deadline_ms):
        text = KOVACIK.read_text().replace('10000', str(deadline_ms))
        path = self.folder / f'{deadline_ms}.jsonc'
        path.write_text(text)
        return path

    def test_publishes_only_differences(self):
        code, first = self.publish(KOVACIK, '--reason', 'start')
        self.assertEqual((0, 'accepted'), (code, first['result']))
        self.assertEqual(ENTRIES, len(first['keys']))
        code, second = self.publish(KOVACIK)
        self.assertEqual((0, 'unchanged'), (code, second['result']))
        code, third = self.publish(self.edited(9000))
        self.assertEqual(['pipeline/alarm-explanation'], third['keys'])
        _, shown = self.invoke('catalogue', 'show')
        alarm = shown['entries']['pipeline/alarm-explanation']
        self.assertEqual(third['offset'], alarm['revision'])
        self.assertEqual(9000, alarm['value']['deadline_ms'])

    @ddt.data(
        (KOVACIK, '--dry-run', 0, 'dry_run'),
        (CEDARLINE, '--remove-missing', 0, 'accepted'),
    )
    @ddt.unpack
    def test_removes_and_sends_only_when_asked(
        self, path, option, code, result
    ):
        self.publish(KOVACIK)
        exit_code, report = self.publish(path, option)
        self.assertEqual((code, result), (exit_code, report['result']))
        _, shown = self.invoke('catalogue', 'show')
        keeps = path == KOVACIK
        self.assertEqual(keeps, 'team/night-dispatch' in shown['entries'])

    def test_a_base_before_another_change_is_a_conflict(self):
        _, first = self.publish(KOVACIK)
        self.publish(self.edited(9000))
        base_option = ('--base', str(first['offset']))
        code, report = self.publish(self.edited(8000), *base_option)
        self.assertEqual((3, 'conflict'), (code, report['result']))
        _, shown = self.invoke('catalogue', 'show')
        alarm = shown['entries']['pipeline/alarm-explanation']
        self.assertEqual(9000, alarm['value']['deadline_ms'])

    def test_of_two_racing_changes_one_is_rejected(self):
        self.publish(KOVACIK)
        publish = publishing.publish

        async def lose_the_race(log, clock, edits, author):
            winner = await publish(log, clock, edits, author)
            self.assertIsInstance(winner, publishing.Accepted)
            return await publish(log, clock, edits, author)

        self.patch(publishing, 'publish', lose_the_race)
        code, report = self.publish(self.edited(9000))
        self.assertEqual((3, 'rejected'), (code, report['result']))
        self.assertEqual(1, report['winner'])
        _, rows = self.invoke('audit')
        self.assertEqual(
            [True, True, False], [row['accepted'] for row in rows]
        )
        self.assertIn('revision 1', rows[-1]['rejection'])

    def test_a_base_before_a_removal_is_a_conflict(self):
        self.publish(KOVACIK)
        text = KOVACIK.read_text()
        smaller = self.folder / 'smaller.jsonc'
        smaller.write_text(text.replace('"portal"', '"portals"'))
        _, second = self.publish(smaller, '--remove-missing')
        self.assertIn('target/portal', second['keys'])
        code, report = self.publish(KOVACIK, '--base', '0')
        self.assertEqual((3, 'conflict'), (code, report['result']))

    @ddt.data((0, 0, True), (-1, 4, False))
    @ddt.unpack
    def test_reports_where_it_is_in_force(self, offset, code, everywhere):
        self.platform.offset = offset
        wait = ('--wait-for', self.platform.status_address, '--wait-ms', '0')
        exit_code, report = self.publish(KOVACIK, *wait)
        self.assertEqual(code, exit_code, report)
        self.assertEqual(everywhere, report['in_force']['everywhere'])

    def test_resolves_a_lost_answer_from_the_log(self):
        self.platform.set_faults(lose_answers=1)
        code, report = self.publish(KOVACIK)
        self.assertEqual((0, 'accepted'), (code, report['result']))
        _, rows = self.invoke('audit')
        self.assertEqual(1, len(rows))
        resolved = self.invoke('catalogue', 'resolve', report['change_id'])
        self.assertEqual(
            (0, report['offset']), (resolved[0], resolved[1]['offset'])
        )

    @ddt.data(
        (('catalogue', 'show'), 1),
        (('catalogue', 'history'), 1),
        (('audit',), 1),
        (('catalogue', 'publish', str(KOVACIK), '--author', 'jana'), 1),
        (('catalogue', 'resolve', 'unknown'), 4),
    )
    @ddt.unpack
    def test_exit_codes_when_the_log_is_down(self, args, code):
        self.platform.set_faults(down=True)
        self.assertEqual(code, self.invoke(*args)[0])

    def test_the_audit_names_author_reason_and_where(self):
        self.publish(KOVACIK, '--reason', 'start')
        self.platform.offset = 0
        self.publish(self.edited(9000))
        address = self.platform.status_address
        _, rows = self.invoke('audit', '--instance', address)
        self.assertEqual(['start', ''], [row['reason'] for row in rows])
        self.assertEqual('jana', rows[0]['author'])
        self.assertEqual([[address], []], [row['in_force_at'] for row in rows])
        key = ('--key', 'pipeline/alarm-explanation')
        self.assertEqual(2, len(self.invoke('audit', *key)[1]))
        key = ('--key', 'target/none')
        self.assertEqual([], self.invoke('catalogue', 'history', *key)[1])

    def test_a_change_that_is_too_large_is_not_sent(self):
        self.patch(catalogue_records, 'MAX_EDITS', ENTRIES - 1)
        self.assertEqual(1, self.publish(KOVACIK)[0])
        self.assertEqual([], self.invoke('audit')[1])

    def test_the_output_of_show_can_be_published(self):
        self.publish(KOVACIK)
        log = ('--log', self.platform.log_url)
        args = ['catalogue', 'show', '--as-file', *log]
        completed = testing.CliRunner().invoke(main.app, args)
        path = self.folder / 'shown.jsonc'
        path.write_text(completed.stdout)
        code, report = self.publish(path)
        self.assertEqual((0, 'unchanged'), (code, report['result']))
