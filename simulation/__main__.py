"""Entry point of `python -m proving`."""

import sys

from proving.cli import main

sys.exit(main())
