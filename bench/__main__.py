"""All measurements, one JSON object a line. Arguments choose modules by name."""

import sys

from bench import agreement, capacity, dispatch, placement, policies, routing, tickets

MODULES = {
    "placement": placement,
    "policies": policies,
    "routing": routing,
    "agreement": agreement,
    "tickets": tickets,
    "capacity": capacity,
    "dispatch": dispatch,
}

for name in sys.argv[1:] or MODULES:
    MODULES[name].main()
