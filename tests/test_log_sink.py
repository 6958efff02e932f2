"""Tests that log writes never block and that the buffer is bounded."""

import os

import ddt

from sycamorebeam import log_sink
from tests import base

LINE = 'event=stage_called ' + 'x' * 200 + '\n'
END = 'event=request_ended ' + 'x' * 200 + '\n'


@ddt.ddt
class LogSinkTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.sink = log_sink.LogSink(self.writer)
        os.set_blocking(self.reader, False)

    def read(self):
        parts = []
        while True:
            try:
                data = os.read(self.reader, 1_000_000)
            except BlockingIOError:
                return b''.join(parts).decode()
            parts.append(data)
            self.sink.flush()

    def test_lines_arrive_whole_and_in_order(self):
        lines = [f'event=e number={n}\n' for n in range(1_000)]
        for line in lines:
            self.sink.write(line)
        self.assertEqual(''.join(lines), self.read())

    def test_stalled_reader_does_not_block_writes(self):
        for _ in range(50_000):
            self.sink.write(LINE)
        self.assertGreater(self.sink.dropped_lines, 0)
        kept = self.read()
        self.assertLess(len(kept), log_sink.MAX_PENDING_BYTES + 200_000)
        self.assertTrue(kept.endswith('\n'))
        dropped_lines = self.sink.dropped_lines
        self.sink.write(LINE)
        self.assertEqual(
            f'event=log_lines_left_out count={dropped_lines}\n{LINE}',
            self.read(),
        )

    def test_request_ended_lines_are_dropped_last(self):
        for _ in range(20_000):
            self.sink.write(LINE)
        before = self.sink.dropped_lines
        for _ in range(500):
            self.sink.write(END)
        self.assertEqual(before, self.sink.dropped_lines)
        self.assertEqual(500, self.read().count(END))

    @ddt.data(1, 1_000)
    def test_closed_reader_is_no_error(self, count):
        other, writer = os.pipe()
        sink = log_sink.LogSink(writer)
        os.close(other)
        for _ in range(count):
            sink.write(LINE)
        self.assertEqual(count, sink.dropped_lines)
        os.close(writer)
