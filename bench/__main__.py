"""Run the benchmarks and print one JSON object per line.

Arguments select benchmarks by name; without arguments all are run.
"""

import sys

from bench import capacity, consensus, dispatch, placement, policies, routing, tickets

MODULES = {
    "placement": placement,
    "policies": policies,
    "routing": routing,
    "agreement": consensus,
    "tickets": tickets,
    "capacity": capacity,
    "dispatch": dispatch,
}

for name in sys.argv[1:] or MODULES:
    MODULES[name].main()
