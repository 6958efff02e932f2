"""The platform's store, with its records as forwarding types."""

from collections.abc import Iterable
import json

import attrs

from sycamorebeam import telemetry
from sycamorebeam.forwarding import blocked_parts
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import positions
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.evacuation import zone_records
from sycamorebeam.platform import desired_state
from sycamorebeam.platform import json_records
from sycamorebeam.platform import store_client
from sycamorebeam.platform import target_records

STATE_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'  # followed by the name of a zone


class StorePlatform:
    """Reads and writes the store for the followers."""

    def __init__(self, store: store_client.StoreClient) -> None:
        self._store = store

    @property
    def era(self) -> int:
        """How often the store was restored from a copy."""
        return self._store.era

    async def read_state(
        self, on_arriving: followers.OnArriving | None = None
    ) -> followers.StateRead:
        """Return the newest desired state."""
        topic = store_client.OPERATOR_TOPIC
        records = await self._read_newest(topic, on_arriving)
        return self._newest_state(records, is_whole=True)

    async def wait_state(
        self,
        position: int,
        wait_ms: int,
        on_arriving: followers.OnArriving | None = None,
    ) -> followers.StateRead:
        """Return a state after a position, waiting up to ``wait_ms``."""
        topic = store_client.OPERATOR_TOPIC
        return self._newest_state(
            await self._read(topic, position, wait_ms, on_arriving),
            is_whole=False,
        )

    async def read_targets(self) -> followers.TargetsRead:
        """Return all targets' entries."""
        records = await self._read_newest(store_client.TARGETS_TOPIC)
        return attrs.evolve(_decode_targets(records), is_whole=True)

    async def read_target_changes(
        self, position: int
    ) -> followers.TargetsRead:
        """Return the entries that changed after a position."""
        return _decode_targets(
            await self._read(store_client.TARGETS_TOPIC, position, 0)
        )

    def decode_state(self, record: bytes) -> model.DesiredState | None:
        """Return the desired state in a record, None if it is invalid."""
        try:
            return desired_state.decode(record)
        except desired_state.UndecodableError as error:
            # The last good state stays in force.
            telemetry.log_event('state_undecodable', 'ERROR', error=str(error))
            return None

    async def read_instances(
        self,
    ) -> Iterable[membership.InstanceEntry]:
        """Return the entries of all instances."""
        records = await self._read_newest(store_client.INSTANCES_TOPIC)
        entries = [_decode_instance(record) for record in records.items]
        return [entry for entry in entries if entry is not None]

    async def renew_instance(self, entry: membership.InstanceEntry) -> None:
        """Write this instance's entry."""
        value = {
            'address': entry.address,
            'region': entry.region,
            'strong': entry.is_strong,
            'started': entry.started_wall_ms,
            'renewal': entry.renewal,
        }
        await self._append(
            store_client.INSTANCES_TOPIC,
            entry.instance_id,
            json.dumps(value).encode(),
        )

    async def remove_instance(self, instance_id: str) -> None:
        """Remove this instance's entry."""
        await self._append(store_client.INSTANCES_TOPIC, instance_id, b'')

    async def read_blocks(self) -> Iterable[blocked_parts.StoredBlock]:
        """Return the blocks of parts of prompts."""
        records = await self._read_newest(store_client.BLOCKS_TOPIC)
        blocks = [_decode_block(record) for record in records.items]
        return [block for block in blocks if block is not None]

    async def write_block(self, block: blocked_parts.StoredBlock) -> None:
        """Write the block of a part, unless its id is too long for a key."""
        if len(block.part_id.encode()) > store_client.MAX_KEY_BYTES:
            telemetry.log_event('block_not_written', part=block.part_id)
            return
        value = {
            'until': block.until_wall_ms,
            'duration_ms': block.duration_ms,
        }
        await self._append(
            store_client.BLOCKS_TOPIC,
            block.part_id,
            json.dumps(value).encode(),
        )

    async def remove_block(self, part_id: str) -> None:
        """Remove the block of a part."""
        await self._append(store_client.BLOCKS_TOPIC, part_id, b'')

    def _newest_state(
        self, records: store_client.Records, *, is_whole: bool
    ) -> followers.StateRead:
        """Return the newest state that can be decoded, and the zones."""
        zones = zone_records.ZoneChanges(
            {
                record.key.removeprefix(EVACUATION_PREFIX): bool(record.value)
                for record in records.items
                if record.key.startswith(EVACUATION_PREFIX)
            },
            is_whole,
        )
        for record in reversed(records.items):
            if record.key != STATE_KEY or not record.value:
                continue
            state = self.decode_state(record.value)
            if state is not None:
                return followers.StateRead(
                    state,
                    _position(records),
                    record.value,
                    evacuations=zones,
                )
        return followers.StateRead(None, _position(records), evacuations=zones)

    async def _append(self, topic: str, key: str, value: bytes) -> None:
        try:
            await self._store.append(topic, key, value)
        except store_client.StoreError as error:
            raise followers.ReadError(str(error)) from error

    async def _read_newest(
        self, topic: str, on_arriving: followers.OnArriving | None = None
    ) -> store_client.Records:
        try:
            return await self._store.read_newest(topic, on_arriving)
        except store_client.StoreError as error:
            raise followers.ReadError(str(error)) from error

    async def _read(
        self,
        topic: str,
        position: int,
        wait_ms: int,
        on_arriving: followers.OnArriving | None = None,
    ) -> store_client.Records:
        try:
            records = await self._store.read(
                topic, positions.offset_of(position), wait_ms, on_arriving
            )
        except store_client.HistoryGoneError as error:
            raise followers.HistoryGoneError(str(error)) from error
        except store_client.StoreError as error:
            raise followers.ReadError(str(error)) from error
        if records.era != positions.era_of(position):
            # A restored store may assign the offset to another record.
            raise followers.HistoryGoneError(
                'the store was restored from a copy'
            )
        return records


def _position(records: store_client.Records) -> int:
    return positions.of(records.era, records.next_offset)


def _decode_targets(records: store_client.Records) -> followers.TargetsRead:
    entries = tuple(
        target_directory.TargetEntry(
            record.key, target_records.decode(record.key, record.value)
        )
        for record in records.items
    )
    return followers.TargetsRead(entries, _position(records))


def _decode_instance(
    record: store_client.Record,
) -> membership.InstanceEntry | None:
    if not record.value:
        return None
    try:
        value = json_records.parse(record.value)
        return membership.InstanceEntry(
            record.key,
            str(value['address']),
            str(value['region']),
            bool(value['strong']),
            int(value['started']),
            int(value['renewal']),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        telemetry.log_event(
            'instance_undecodable',
            'WARNING',
            instance_entry=record.key,
            error=repr(error),
        )
        return None


def _decode_block(
    record: store_client.Record,
) -> blocked_parts.StoredBlock | None:
    if not record.value:
        return None
    try:
        value = json_records.parse(record.value)
        return blocked_parts.StoredBlock(
            record.key, int(value['until']), int(value['duration_ms'])
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        telemetry.log_event(
            'block_undecodable',
            'WARNING',
            part=record.key,
            error=repr(error),
        )
        return None
