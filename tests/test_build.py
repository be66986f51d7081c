"""The build of the deploy file, in a checkout whose files all have the same time."""

import os
import shutil
import subprocess
import sys
import tomllib

import pytest

from bluebellyoke.sources import compute_digest
from standins.cell import ROOT

#: Time of all files of a laid-out copy, in seconds since 1970.
LAID_OUT_AT = 1_700_000_000

#: Interpreter that stands in for the package manager and passes other calls on.
INTERPRETER = """#!/bin/sh
[ "$2" = pip ] || exec {python} "$@"
mkdir -p target/deps && echo installed >> pip-calls
"""


class Checkout:
    """A checkout with a deploy file, a lock file and a package of two modules."""

    def __init__(self, folder):
        self.folder = folder
        self.package = folder / "src" / "package"
        shutil.copytree(ROOT / "deploy", folder / "deploy")
        self.lay({"__init__.py": "", "kept.py": "VALUE = 1\n", "removed.py": ""})
        self.lock("first==1\n")
        interpreter = folder / "bin" / "python3"
        interpreter.parent.mkdir()
        interpreter.write_text(INTERPRETER.format(python=sys.executable))
        interpreter.chmod(0o755)

    def lay(self, sources):
        """Replace the sources; all of them have the same time."""
        shutil.rmtree(self.package, ignore_errors=True)
        self.package.mkdir(parents=True)
        for name, text in sources.items():
            (self.package / name).write_text(text)
            os.utime(self.package / name, (LAID_OUT_AT, LAID_OUT_AT))

    def lock(self, text):
        path = self.folder / "requirements-run.lock"
        path.write_text(text)
        os.utime(path, (LAID_OUT_AT, LAID_OUT_AT))

    def build(self):
        with open(self.folder / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["build"]
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "-c", command],
            cwd=self.folder,
            env={**os.environ, "PATH": path},
            check=True,
        )

    def import_value(self):
        """Return the value that a process gets from the compiled module."""
        code = "from package.kept import VALUE; print(VALUE)"
        environment = {**os.environ, "PYTHONPATH": str(self.folder / "target" / "src")}
        return subprocess.check_output(
            [sys.executable, "-c", code], env=environment, text=True
        ).strip()

    def count_installations(self):
        return len((self.folder / "pip-calls").read_text().splitlines())


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


# Guards against a release that runs files of the one before, whose build is still there
# and whose files are no older.
def test_build_runs_the_sources_of_this_release(checkout):
    checkout.build()
    assert checkout.import_value() == "1"
    checkout.lay({"__init__.py": "", "kept.py": "VALUE = 2\n", "added.py": ""})
    checkout.build()
    assert checkout.import_value() == "2"
    built = checkout.folder / "target" / "src" / "package"
    assert {x.name for x in built.glob("*.py")} == {
        "__init__.py",
        "added.py",
        "kept.py",
    }
    assert {x.name.split(".")[0] for x in built.glob("__pycache__/*")} == {
        "__init__",
        "added",
        "kept",
    }


# Guards against packages of the release before, whose lock file is no older.
def test_build_installs_packages_again_if_the_lock_file_is_another(checkout):
    checkout.build()
    checkout.build()
    assert checkout.count_installations() == 1
    checkout.lock("first==2\n")
    checkout.build()
    assert checkout.count_installations() == 2


# Guards against two releases that the start log does not tell apart.
def test_digest_tells_sources_of_equal_size_and_time_apart(checkout):
    first = compute_digest(checkout.package)
    checkout.lay({"__init__.py": "", "kept.py": "VALUE = 2\n", "removed.py": ""})
    second = compute_digest(checkout.package)
    checkout.lay({"__init__.py": "", "kept.py": "VALUE = 1\n", "removed.py": ""})
    assert first == compute_digest(checkout.package) != second
    assert len(first) == 12
