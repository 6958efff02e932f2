"""Base classes of all tests: testtools cases with coroutine tests."""

import asyncio
from collections.abc import Callable
import inspect
import tempfile

import async_solipsism
import testtools
import uvloop


class TestCase(testtools.TestCase):
    """A test case whose coroutine tests run on a loop with virtual time.

    Virtual time jumps to the next timer when nothing else can run, so a
    test of minutes takes milliseconds and gives the same result each run.
    This loop has no real sockets.
    """

    def new_loop(self) -> asyncio.AbstractEventLoop:
        return async_solipsism.EventLoop()

    def make_temp_dir(self) -> str:
        folder = tempfile.TemporaryDirectory(prefix='sycamorebeam-')
        self.addCleanup(folder.cleanup)
        return folder.name

    def _get_test_method(self) -> Callable[[], object]:
        method = super()._get_test_method()
        if not inspect.iscoroutinefunction(method):
            return method

        def run() -> None:
            with asyncio.Runner(loop_factory=self.new_loop) as runner:
                runner.run(method())

        return run


class NetworkTestCase(TestCase):
    """A test case on a real loop, for tests over the loopback network."""

    def new_loop(self) -> asyncio.AbstractEventLoop:
        return uvloop.new_event_loop()
