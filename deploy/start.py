"""Start of an instance from a checkout, for the deploy file.

Usage: start.py [SOURCES]. SOURCES is the folder of the package within the checkout,
`src` if it is left out. The deploy file names a compiled copy, so that a start needs
neither to compile nor to write.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

sys.path.insert(0, str(ROOT / (sys.argv[1] if len(sys.argv) > 1 else "src")))

from bluebellyoke.platform.__main__ import main

sys.exit(main())
