"""Runs the command line with ``python -m sycamorebeam``."""

from sycamorebeam.cli import main

if __name__ == '__main__':
    main.main()
