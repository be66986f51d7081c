import socket
import subprocess
import sys

import pytest

from standins.cell import ROOT, Cell


def run(*arguments, stdin=""):
    return subprocess.run(
        [sys.executable, "-m", "bluebellyoke", *map(str, arguments)],
        cwd=ROOT,
        input=stdin,
        capture_output=True,
        text=True,
    )


@pytest.fixture
def cell(tmp_path):
    return Cell(tmp_path, replicas=1, entries=1, voters=1)


def expect_one_line(done, code, *words):
    assert done.returncode == code
    lines = done.stderr.strip().splitlines()
    assert len(lines) == 1, done.stderr
    for word in words:
        assert word in lines[0]


def test_port_in_use_names_file_key_and_remedy(cell):
    settings = cell.write_settings("i2")
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", cell.http_ports["i2"]))
        taken.listen()
        done = run("serve", "--settings", settings)
    expect_one_line(done, 2, "i2.toml", "instance.http_port", "choose a free port")


def test_replica_without_folder_is_told_to_init(cell):
    settings = cell.write_settings("i1")
    expect_one_line(run("serve", "--settings", settings), 2, "bluebellyoke init")


def test_second_init_is_refused(cell):
    settings = cell.write_settings("i1")
    assert run("init", "--settings", settings, "--new-cell").returncode == 0
    expect_one_line(run("init", "--settings", settings), 2, "already holds a replica")


def test_folder_of_another_cell_is_refused(cell):
    settings = cell.write_settings("i1")
    run("init", "--settings", settings, "--new-cell")
    settings.write_text(settings.read_text().replace('name = "demo"', 'name = "other"'))
    done = run("serve", "--settings", settings)
    expect_one_line(done, 2, "belongs to cell 'demo'", "correct `cell`")


def test_instance_without_data_folder_cannot_be_initialized(cell):
    settings = cell.write_settings("i2")
    done = run("init", "--settings", settings)
    expect_one_line(done, 2, "instance.data_folder")


def test_settings_that_do_not_fit_together_are_faults(cell):
    first, second = cell.write_settings("i1"), cell.write_settings("i2")
    text = second.read_text().replace("voters = 1", "voters = 5")
    second.write_text(text.replace('name = "i2"', 'name = "i1"'))
    done = run("check-settings", first, second)
    assert done.returncode == 2
    assert "tables `cell` and `limits` differ" in done.stderr
    assert "'i1' is also in" in done.stderr


def test_no_instance_is_its_own_exit_code():
    done = run("status", "--server", "127.0.0.1:1")
    expect_one_line(done, 3, "127.0.0.1:1", "--server IP:PORT")


@pytest.mark.parametrize("text", ["{", ""])
def test_file_that_is_no_json_is_refused(text):
    done = run("ticket", "apply", "-", stdin=text)
    expect_one_line(done, 2, "name a JSON file")


def test_ticket_number_is_an_optional_argument():
    for arguments in (["1"], []):
        done = run("ticket", "show", *arguments, "--server", "127.0.0.1:1")
        assert done.returncode == 3, done.stderr


def test_bad_flag_is_one_usage_error():
    done = run("status", "--colour")
    assert done.returncode == 2
    assert "unrecognized arguments: --colour" in done.stderr


def test_examples_are_in_order():
    for user in ("palletra", "srisuk"):
        files = sorted((ROOT / "examples" / user).glob("*.toml"))
        assert len(files) == 12
        assert run("check-settings", *files).returncode == 0
