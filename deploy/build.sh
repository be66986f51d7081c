#!/bin/sh
# Builds into target/: the packages that the program needs, and a compiled copy of its
# sources. Nothing is told by the times of files, since those of a laid-out copy may be
# equal or old: the copy is made afresh, and the packages are installed again whenever
# the lock file, the interpreter or the kind of machine is another.
set -eu
mkdir -p target

describe_packages() {
    cat requirements-run.lock
    python3 -VV
    uname -m
}

describe_packages >target/packages.wanted
if ! cmp -s target/packages.wanted target/packages.installed; then
    rm -rf target/deps target/packages.installed
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -r requirements-run.lock
    cp target/packages.wanted target/packages.installed
fi

rm -rf target/src
cp -Rp src target/src
find target/src -name __pycache__ -type d -prune -exec rm -rf {} +
python3 -m compileall -q target/src
