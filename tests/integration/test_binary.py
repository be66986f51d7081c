"""The single-file binary supports every subcommand and starts no child process."""

import os
import signal
import subprocess
from pathlib import Path

import pytest

from standins.cell import ROOT, Cell, wait_until


@pytest.fixture(scope="module")
def binary():
    subprocess.run(["make", "binary"], cwd=ROOT, check=True, capture_output=True)
    return ROOT / "dist" / "bluebellyoke"


@pytest.fixture
def environment(tmp_path):
    """Environment variables without any Python path, so only the binary is found."""
    kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
    return {**kept, "SHIV_ROOT": str(tmp_path / "shiv")}


def list_children(pid):
    children = []
    for path in Path(f"/proc/{pid}/task").glob("*/children"):
        children += path.read_text().split()
    return children


def test_binary_serves_in_the_started_process(binary, environment, tmp_path):
    cell = Cell(tmp_path / "cell", replicas=1, non_replicas=0, voters=1)
    settings = str(cell.write_settings("i1"))

    def run(*arguments):
        return subprocess.run(
            [binary, *arguments], env=environment, cwd=tmp_path, capture_output=True
        )

    assert run("check-settings", settings).returncode == 0
    assert run("init", "--settings", settings, "--new-cell").returncode == 0
    process = subprocess.Popen(
        [binary, "serve", "--settings", settings],
        env=environment,
        cwd=tmp_path,
        stderr=subprocess.DEVNULL,
    )
    try:
        wait_until(lambda: cell.is_ready("i1"), 30, "the binary to serve")
        assert list_children(process.pid) == []
        server = cell.addresses[0]
        for arguments in (["status"], ["ticket", "show"]):
            assert run(*arguments, "--server", server).returncode == 0
        for arguments in (["job", "show", "j"], ["explain", "j"]):
            assert run(*arguments, "--server", server).returncode == 1
        assert run("drain", "--server", server).returncode == 0
        assert process.wait(30) == 0
    finally:
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
            process.wait()
