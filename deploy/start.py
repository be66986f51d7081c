"""Start of an instance from a checkout, for the deploy file."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from bluebellyoke.platform.__main__ import main

sys.exit(main())
