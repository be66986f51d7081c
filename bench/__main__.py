"""Run the benchmarks and print one JSON object per line.

Arguments select benchmarks by name; without arguments all are run.
"""

import sys

from bench import capacity, consensus, dispatch, placement, policies, routing, tickets

EXIT_USAGE = 2

MODULES = {
    "placement": placement,
    "policies": policies,
    "routing": routing,
    "agreement": consensus,
    "tickets": tickets,
    "capacity": capacity,
    "dispatch": dispatch,
}


def main(names: list[str]) -> int:
    """Run the named benchmarks, or all, and return the exit code."""
    unknown = [name for name in names if name not in MODULES]
    if unknown:
        print(
            f"usage: python -m bench [{' | '.join(MODULES)}]...\n"
            f"unknown: {', '.join(unknown)}",
            file=sys.stderr,
        )
        return EXIT_USAGE
    for name in names or MODULES:
        MODULES[name].main()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
