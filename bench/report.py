"""Output of the measurements: one JSON object a line."""

import json


def emit(name, value, unit, **size):
    """Print one figure with the size at which it was taken."""
    print(json.dumps({"name": name, "value": value, "unit": unit, **size}), flush=True)
