"""The commands that serve stand-ins of the platform and of targets."""

from collections.abc import Mapping
import pathlib
from typing import Annotated

import typer

from sycamorebeam import catalogue
from sycamorebeam import catalogue_file
from sycamorebeam import errors
from sycamorebeam import replica_file
from sycamorebeam.cli import output
from sycamorebeam.standins import platform_server
from sycamorebeam.standins import replica
from sycamorebeam.standins import server
from sycamorebeam.standins import target_server

app = typer.Typer(
    name='standin',
    help='Serve small stand-ins, for demonstrations and tests only.',
    cls=output.ErrorGroup,
    no_args_is_help=True,
)

ListenOption = Annotated[
    str, typer.Option('--listen', help='Where to listen, IP:port.')
]


@app.command(epilog=output.EXIT_CODES)
def platform(
    listen: ListenOption = '127.0.0.1:21000',
    replicas: Annotated[
        pathlib.Path | None,
        typer.Option(help='Items that the instance list has at the start.'),
    ] = None,
) -> None:
    """Serve a log service and an instance list until a signal comes.

    Example: sycamorebeam standin platform --listen 127.0.0.1:21000
    --replicas samples/kovacik/replicas.jsonc
    """
    listed = replica_file.load_replicas(replicas) if replicas else []
    output.run(_serve_platform(listen, listed))


async def _serve_platform(
    listen: str, listed: list[replica_file.ListedReplica]
) -> None:
    host, port = server.split_address(listen)
    running = await platform_server.start_platform(host, port)
    running.instances.put([entry.to_plain() for entry in listed])
    await server.run_until_signal([running])


@app.command(epilog=output.EXIT_CODES)
def target(
    kind: Annotated[
        catalogue.TargetKind, typer.Option(help='What it stands in for.')
    ],
    listen: ListenOption,
    group: Annotated[
        str, typer.Option(help='The target entry it is a replica of.')
    ] = 'standin',
    work_ms: Annotated[
        float, typer.Option(help='Time of a call of a pool or service.')
    ] = 2,
    token_ms: Annotated[
        float, typer.Option(help='Time between tokens of an engine.')
    ] = 2,
    capacity: Annotated[
        int, typer.Option(min=1, help='Calls that run at once.')
    ] = 16,
    checks_fencing: Annotated[
        bool, typer.Option(help='Refuse orders with an old fencing number.')
    ] = True,
) -> None:
    """Serve one replica of a target until a signal comes.

    Example: sycamorebeam standin target --kind engine --group engines
    --listen 127.0.0.1:21401 --token-ms 5
    """
    options = replica.TargetOptions(
        work_ms=work_ms,
        token_ms=token_ms,
        capacity=capacity,
        checks_fencing=checks_fencing,
    )
    output.run(target_server.serve_target(listen, kind, group, options))


@app.command(epilog=output.EXIT_CODES)
def targets(
    replicas: Annotated[
        pathlib.Path, typer.Argument(help='Items of an instance list.')
    ],
    catalogue_path: Annotated[
        pathlib.Path,
        typer.Option('--catalogue', help='Says of which kind a group is.'),
    ],
    group: Annotated[
        list[str] | None,
        typer.Option(help='Serve this group only; may be repeated.'),
    ] = None,
) -> None:
    """Serve all target replicas of a list from one process.

    Example: sycamorebeam standin targets samples/kovacik/replicas.jsonc
    --catalogue samples/kovacik/catalogue.jsonc
    """
    entries = catalogue_file.load_catalogue_file(catalogue_path)
    specs = [
        _spec(listed, entries)
        for listed in replica_file.load_replicas(replicas)
        if listed.group != replica_file.ENTRY_GROUP
        and (not group or listed.group in group)
    ]
    if not specs:
        raise errors.SettingsError(
            f'{replicas} lists no replica to serve', 'check --group'
        )
    output.run(target_server.serve_targets(specs))


def _spec(
    listed: replica_file.ListedReplica,
    entries: Mapping[str, catalogue.AnyEntry],
) -> target_server.TargetSpec:
    entry = entries.get(f'target/{listed.group}')
    if not isinstance(entry, catalogue.Target):
        raise errors.SettingsError(
            f'group {listed.group} is no target of the catalogue',
            'add the target, or name other groups with --group',
        )
    return target_server.TargetSpec(
        listen=listed.address,
        kind=entry.kind,
        group=listed.group,
        options=replica.TargetOptions(checks_fencing=entry.checks_fencing),
    )
