"""Runs a forwarding instance on the platform."""

import os
import sys

import uvloop

from sycamorebeam import errors
from sycamorebeam import log_sink
from sycamorebeam import telemetry
from sycamorebeam.forwarding import instance
from sycamorebeam.forwarding import settings as settings_module
from sycamorebeam.forwarding import upstream
from sycamorebeam.platform import exchange
from sycamorebeam.platform import followed
from sycamorebeam.platform import store

SETTINGS_VARIABLE = 'SYCAMOREBEAM_NODE_FILE'
EXIT_BAD_SETTINGS = 2


async def _run(settings: settings_module.Settings) -> None:
    client = upstream.Upstream(instance.MAX_CONNECTIONS)
    adapter = instance.Adapter(
        platform=followed.StorePlatform(store.Store(settings.store.address)),
        decode=exchange.decode_request,
        codec=exchange,
        stage_calls=exchange.StageTargets(client),
        client=client,
    )
    await instance.Instance(settings, adapter).run()


def main() -> int:
    """Run an instance until it is stopped; return the exit code."""
    try:
        settings = settings_module.load(os.environ[SETTINGS_VARIABLE])
    except (errors.SettingsError, KeyError) as error:
        print(f'event=settings_refused error={error!r}', flush=True)
        return EXIT_BAD_SETTINGS
    sink = log_sink.LogSink(sys.stdout.fileno())
    telemetry.configure_logs(settings.instance_id, sink)
    uvloop.run(_run(settings))
    return 0


if __name__ == '__main__':
    sys.exit(main())
