"""Builds the program as one file that runs on a machine with Python.

The file is a zip archive with all dependencies; its loader unpacks them
once into ``SHIV_ROOT``, in its own process, see ``docs/design/binary.md``.
"""

import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SITE = ROOT / 'build' / 'site'
BINARY = ROOT / 'dist' / 'sycamorebeam'
ENTRY_POINT = 'sycamorebeam.cli.main:main'


def build() -> pathlib.Path:
    """Build the binary and return its path."""
    shutil.rmtree(SITE, ignore_errors=True)
    BINARY.parent.mkdir(exist_ok=True)
    install = ['pip', 'install', '--quiet', '--no-deps', '--target', str(SITE)]
    _run([*install, '-r', str(ROOT / 'requirements-run.lock')])
    _run([*install, '--no-build-isolation', str(ROOT)])
    pack = ['shiv', '--compressed', '--reproducible']
    pack += ['--site-packages', str(SITE), '--entry-point', ENTRY_POINT]
    pack += ['--python', '/usr/bin/env python3', '--output-file', str(BINARY)]
    _run(pack)
    return BINARY


def _run(arguments: list[str]) -> None:
    module, *rest = arguments
    name = 'shiv.cli' if module == 'shiv' else module
    subprocess.run([sys.executable, '-m', name, *rest], check=True, cwd=ROOT)


def main() -> None:
    """Build the binary; print its path and size."""
    binary = build()
    size = binary.stat().st_size
    print(f'{binary.relative_to(ROOT)} {size} bytes')


if __name__ == '__main__':
    main()
