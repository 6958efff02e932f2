"""Runs a forwarding instance on the platform."""

import os
import sys

import uvloop

from sycamorebeam import errors
from sycamorebeam import log_sink
from sycamorebeam import telemetry
from sycamorebeam.forwarding import instance
from sycamorebeam.forwarding import instance_settings
from sycamorebeam.forwarding import platform_adapter
from sycamorebeam.forwarding import request_memory
from sycamorebeam.forwarding import upstream
from sycamorebeam.platform import http_codec
from sycamorebeam.platform import store_client
from sycamorebeam.platform import store_platform

SETTINGS_VARIABLE = 'SYCAMOREBEAM_NODE_FILE'
EXIT_BAD_SETTINGS = 2


async def _run(settings: instance_settings.Settings) -> None:
    memory = request_memory.RequestMemory(
        request_memory.limit_bytes(settings.memory_mb)
    )
    client = upstream.Upstream(instance.MAX_TARGET_CONNECTIONS, memory)
    adapter = platform_adapter.PlatformAdapter(
        platform=store_platform.StorePlatform(
            store_client.StoreClient(settings.store.address)
        ),
        decode_request=http_codec.decode_request,
        codec=http_codec,
        stage_calls=http_codec.StageClient(client),
        client=client,
    )
    await instance.Instance(settings, adapter).run()


def main() -> int:
    """Run an instance until it is stopped; return the exit code."""
    try:
        settings = instance_settings.load(os.environ[SETTINGS_VARIABLE])
    except (errors.SettingsError, KeyError) as error:
        print(f'event=settings_refused error={error!r}', flush=True)
        return EXIT_BAD_SETTINGS
    sink = log_sink.LogSink(sys.stdout.fileno())
    telemetry.configure_logs(settings.instance_id, sink)
    uvloop.run(_run(settings))
    return 0


if __name__ == '__main__':
    sys.exit(main())
