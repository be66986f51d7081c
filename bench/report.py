"""Output of the benchmarks: one JSON object per line."""

import json


def emit(name, value, unit, **parameters):
    """Print one measured value with the parameters of its run."""
    print(
        json.dumps({"name": name, "value": value, "unit": unit, **parameters}),
        flush=True,
    )
