"""Runs the program under cProfile and writes the statistics on exit.

Usage: python -m tools.profile_instance FILE ARGUMENTS, where the arguments
are those of ``sycamorebeam``.
"""

import cProfile
import sys

from sycamorebeam.cli import main


def run_profiled() -> None:
    """Run the program and write the profile when it ends."""
    path = sys.argv.pop(1)
    profiler = cProfile.Profile()
    try:
        profiler.runcall(main.main)
    finally:
        profiler.dump_stats(path)


if __name__ == '__main__':
    run_profiled()
