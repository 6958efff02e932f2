"""What an instance needs of the platform that it runs on."""

import attrs

from sycamorebeam.forwarding import calls
from sycamorebeam.forwarding import frontend
from sycamorebeam.forwarding import record_platform
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding.evacuation import zone_checks


@attrs.frozen(kw_only=True)
class PlatformAdapter:
    """Holds a platform's implementations of what an instance needs."""

    platform: record_platform.RecordPlatform
    decode_request: frontend.Decoder
    codec: calls.Codec
    stage_calls: zone_checks.GuardedStageCalls
    client: upstream.Upstream
