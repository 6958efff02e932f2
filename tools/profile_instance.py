"""Runs the program under cProfile and writes its statistics at its end.

Usage: python -m tools.profile_instance FILE ARGUMENTS, where the arguments
are those of ``sycamorebeam``.
"""

import cProfile
import sys

from sycamorebeam.cli import main as command_line


def main() -> None:
    """Run the program; the profile is written when it ends."""
    path = sys.argv.pop(1)
    profiler = cProfile.Profile()
    try:
        profiler.runcall(command_line.main)
    finally:
        profiler.dump_stats(path)


if __name__ == '__main__':
    main()
