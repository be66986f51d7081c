"""All measurements, one JSON object a line. Arguments choose modules by name."""

import sys

from bench import agreement, capacity, placement, policies, routing, tickets

MODULES = {
    "placement": placement,
    "policies": policies,
    "routing": routing,
    "agreement": agreement,
    "tickets": tickets,
    "capacity": capacity,
}

for name in sys.argv[1:] or MODULES:
    MODULES[name].main()
