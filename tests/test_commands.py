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
    return Cell(tmp_path, replicas=1, non_replicas=1, voters=1)


def assert_one_error_line(result, code, *words):
    assert result.returncode == code
    lines = result.stderr.strip().splitlines()
    assert len(lines) == 1, result.stderr
    for word in words:
        assert word in lines[0]


def test_port_in_use_names_file_key_and_remedy(cell):
    settings = cell.write_settings("i2")
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", cell.http_ports["i2"]))
        listener.listen()
        result = run("serve", "--settings", settings)
    assert_one_error_line(
        result, 2, "i2.toml", "instance.http_port", "choose a free port"
    )


def test_missing_replica_error_names_init(cell):
    settings = cell.write_settings("i1")
    assert_one_error_line(run("serve", "--settings", settings), 2, "bluebellyoke init")


def test_second_init_is_refused(cell):
    settings = cell.write_settings("i1")
    assert run("init", "--settings", settings, "--new-cell").returncode == 0
    assert_one_error_line(
        run("init", "--settings", settings), 2, "already holds a replica"
    )


def test_folder_of_another_cell_is_refused(cell):
    settings = cell.write_settings("i1")
    run("init", "--settings", settings, "--new-cell")
    settings.write_text(settings.read_text().replace('name = "demo"', 'name = "other"'))
    result = run("serve", "--settings", settings)
    assert_one_error_line(result, 2, "belongs to cell 'demo'", "correct `cell`")


def test_init_without_data_folder_is_refused(cell):
    settings = cell.write_settings("i2")
    result = run("init", "--settings", settings)
    assert_one_error_line(result, 2, "instance.data_folder")


def test_conflicting_settings_files_are_refused(cell):
    first, second = cell.write_settings("i1"), cell.write_settings("i2")
    text = second.read_text().replace("voters = 1", "voters = 5")
    second.write_text(text.replace('name = "i2"', 'name = "i1"'))
    result = run("check-settings", first, second)
    assert result.returncode == 2
    assert "tables `cell` and `limits` differ" in result.stderr
    assert "'i1' is also in" in result.stderr


def test_unreachable_instance_has_its_own_exit_code():
    result = run("status", "--server", "127.0.0.1:1")
    assert_one_error_line(result, 3, "127.0.0.1:1", "--server IP:PORT")


@pytest.mark.parametrize("text", ["{", ""])
def test_file_that_is_not_json_is_refused(text):
    result = run("ticket", "apply", "-", stdin=text)
    assert_one_error_line(result, 2, "name a JSON file")


def test_ticket_number_is_an_optional_argument():
    for arguments in (["1"], []):
        result = run("ticket", "show", *arguments, "--server", "127.0.0.1:1")
        assert result.returncode == 3, result.stderr


def test_unknown_option_is_a_usage_error():
    result = run("status", "--colour")
    assert result.returncode == 2
    assert "unrecognized arguments: --colour" in result.stderr


def test_examples_are_valid():
    for user in ("palletra", "srisuk"):
        files = sorted((ROOT / "examples" / user).glob("*.toml"))
        assert len(files) == 12
        assert run("check-settings", *files).returncode == 0
