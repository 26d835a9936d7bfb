"""Entry point of `python -m simulation`."""

import sys

from simulation.cli import main

sys.exit(main())
