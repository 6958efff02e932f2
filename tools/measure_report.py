"""Formats measurements as tables of the page and as JSON."""

import pathlib
from typing import Any

from tools import measure_load
from tools import measure_requests

BEGIN = '<!-- begin {} -->'
END = '<!-- end {} -->'
REQUEST_HEADS = (
    'stand-ins',
    'in flight',
    'direct p50 / p99 ms',
    'instance p50 / p99 ms',
    'added p50 / p99 ms',
    'ratio p50 / p99',
    'direct / instance req/s',
    'instance CPU ms/req',
)
STREAM_HEADS = (
    'stand-ins',
    'in flight',
    'first token direct p50 / p99 ms',
    'first token instance p50 / p99 ms',
    'whole direct p50 / p99 ms',
    'whole instance p50 / p99 ms',
    'ratio whole p50 / p99',
    'direct / instance tokens/s',
    'instance CPU us/token',
)

DECISION_HEADS = ('decision', 'size', 'CPU us')
FLEET_HEADS = (
    'instances',
    'changes timed',
    'in force everywhere, median ms',
    'worst ms',
    'CPU ms a change and instance',
)
START_HEADS = ('teams', 'read MiB', 'ready ms', 'CPU ms', 'kept MiB')


def table(heads: tuple[str, ...], rows: list[list[str]]) -> str:
    """Return a table in Markdown."""
    lines = [heads, tuple('---' for _ in heads), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def write(page: pathlib.Path, sections: dict[str, str]) -> None:
    """Replace the text between the markers of each section of the page."""
    text = page.read_text()
    for name, section in sections.items():
        before, _, rest = text.partition(BEGIN.format(name))
        _, end_marker, after = rest.partition(END.format(name))
        if not end_marker:
            raise ValueError(f'{page.name} has no markers of {name!r}')
        begin, end = BEGIN.format(name), END.format(name)
        text = f'{before}{begin}\n{section}\n{end}{after}'
    page.write_text(text)


def requests(costs: measure_requests.RequestCosts) -> str:
    """Return the tables of the costs of requests."""
    plain = [
        _plain_row(cell) for cell in costs.cells if not _is_streaming(cell)
    ]
    streams = [
        _stream_row(cell) for cell in costs.cells if _is_streaming(cell)
    ]
    parts = [
        *([table(REQUEST_HEADS, plain)] if plain else []),
        *([table(STREAM_HEADS, streams)] if streams else []),
        f'Without requests the instance used '
        f'{costs.idle_share * 100:.1f}% of a core.',
        f'Failures: {_failures(costs)}.',
    ]
    return '\n\n'.join(parts)


def requests_document(costs: measure_requests.RequestCosts) -> dict[str, Any]:
    """Return the costs of requests as plain data for JSON."""
    return {
        'idle_share': costs.idle_share,
        'cells': [
            {
                'group': cell.group,
                'in_flight': cell.in_flight,
                'direct': _sample_document(cell.direct),
                'instance': _sample_document(cell.instance),
            }
            for cell in costs.cells
        ],
    }


def _sample_document(sample: measure_load.Sample) -> dict[str, Any]:
    document: dict[str, Any] = {
        'answers': sample.answers,
        'failures': dict(sample.failures),
        'tokens': sample.tokens,
        'elapsed_s': sample.elapsed_s,
        'instance_cpu_s': sample.cpu_s,
    }
    for name, percentile in (('p50', 50.0), ('p99', 99.0)):
        document[f'whole_{name}_ms'] = sample.whole_ms(percentile)
        if sample.tokens:
            document[f'first_{name}_ms'] = sample.first_ms(percentile)
    return document


def _is_streaming(cell: measure_requests.Cell) -> bool:
    return cell.direct.tokens > 0


def _plain_row(cell: measure_requests.Cell) -> list[str]:
    direct, instance = cell.direct, cell.instance
    whole = _p50_and_p99(direct), _p50_and_p99(instance)
    return [
        cell.group,
        str(cell.in_flight),
        _pair(*whole[0]),
        _pair(*whole[1]),
        _pair(whole[1][0] - whole[0][0], whole[1][1] - whole[0][1]),
        _ratios(*whole),
        f'{_per_s(direct.answers, direct):.0f} / '
        f'{_per_s(instance.answers, instance):.0f}',
        f'{instance.cpu_s / max(1, instance.answers) * 1_000:.2f}',
    ]


def _stream_row(cell: measure_requests.Cell) -> list[str]:
    direct, instance = cell.direct, cell.instance
    whole = _p50_and_p99(direct), _p50_and_p99(instance)
    return [
        cell.group,
        str(cell.in_flight),
        _pair(direct.first_ms(50.0), direct.first_ms(99.0)),
        _pair(instance.first_ms(50.0), instance.first_ms(99.0)),
        _pair(*whole[0]),
        _pair(*whole[1]),
        _ratios(*whole),
        f'{_per_s(direct.tokens, direct):.0f} / '
        f'{_per_s(instance.tokens, instance):.0f}',
        f'{instance.cpu_s / max(1, instance.tokens) * 1_000_000:.1f}',
    ]


def _p50_and_p99(sample: measure_load.Sample) -> tuple[float, float]:
    return sample.whole_ms(50.0), sample.whole_ms(99.0)


def _ratios(direct: tuple[float, float], instance: tuple[float, float]) -> str:
    if not all(direct):
        return '-'
    return _pair(instance[0] / direct[0], instance[1] / direct[1])


def _per_s(count: int, sample: measure_load.Sample) -> float:
    return count / sample.elapsed_s


def _pair(first: float, second: float) -> str:
    return f'{first:.2f} / {second:.2f}'


def _failures(costs: measure_requests.RequestCosts) -> str:
    failures = [
        f'{cell.group} at {cell.in_flight} {name}: {dict(sample.failures)}'
        for cell in costs.cells
        for name, sample in (
            ('direct', cell.direct),
            ('through the instance', cell.instance),
        )
        if sample.failures
    ]
    return '; '.join(failures) or 'none'
