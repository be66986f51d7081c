"""What became of a request, told from logs."""

import json

import pytest

from bluebellyoke.commands import explain
from bluebellyoke.explanation import Verdict, explain_request, read_lines

ID = "5c0e7a21d94b36f8"


class Log:
    """Lines of an instance, as they are written."""

    def __init__(self):
        self.lines = []

    def add(self, seconds, message, instance="a", **fields):
        value = {
            "time": f"2026-12-04 10:00:{seconds:06.3f}".replace(".", ","),
            "level": "INFO",
            "logger": "l",
            "message": message,
            "instance": instance,
            **fields,
        }
        self.lines.append(json.dumps(value) + "\n")

    def take(self, seconds, code="accepted"):
        self.add(seconds, "dispatch: took a workflow", job=ID, code=code, tasks=[1])

    def start(self, seconds, run, worker, task=(0, 0, 0), job=ID):
        self.add(
            seconds,
            "dispatch: starts a run",
            job=job,
            task=list(task),
            run=run,
            worker=worker,
        )

    def end(self, seconds, run, worker, outcome, task=(0, 0, 0), job=ID):
        self.add(
            seconds,
            "dispatch: a run ended",
            job=job,
            task=list(task),
            run=run,
            worker=worker,
            outcome=outcome,
        )

    def finish(self, seconds, outcome, reason="all tasks are done"):
        self.add(
            seconds,
            "dispatch: a workflow ended",
            job=ID,
            outcome=outcome,
            reason=reason,
        )

    def explain(self):
        return explain_request(read_lines([self.lines]), ID)


@pytest.fixture
def log():
    return Log()


def test_late_request_names_the_longest_part_of_its_way(log):
    log.take(1.0)
    log.start(1.1, 1, "w1")
    log.add(
        1.5,
        "dispatch: a start failed",
        job=ID,
        task=[0, 0, 0],
        run=1,
        worker="w1",
        fault="no answer",
    )
    log.end(5.5, 1, "w1", "never-started")
    log.start(5.6, 2, "w2")
    log.end(6.2, 2, "w2", "done")
    log.finish(6.21, "completed")
    found = log.explain()
    assert found.verdict is Verdict.COMPLETED
    assert found.cause == (
        "4.00 s were spent until a start without an answer was settled (worker w1)"
    )
    assert [round(part.seconds, 2) for part in found.parts] == [
        0.1,
        0.4,
        4.0,
        0.1,
        0.6,
        0.01,
    ]


def test_way_follows_the_task_that_ended_last(log):
    log.take(1.0)
    log.start(1.1, 1, "w1")
    log.start(1.1, 1, "w2", task=(0, 0, 1))
    log.end(1.5, 1, "w1", "done")
    log.end(3.5, 1, "w2", "done", task=(0, 0, 1))
    log.start(3.6, 1, "w3", task=(0, 1, 0))
    log.end(4.0, 1, "w3", "done", task=(0, 1, 0))
    log.finish(4.1, "completed")
    found = log.explain()
    assert found.cause == "2.40 s were spent while its task ran (worker w2)"


def test_change_of_the_leader_on_the_way_is_told(log):
    log.take(1.0)
    log.start(1.1, 1, "w1")
    log.add(2.0, "replica: leads", instance="b", term=3)
    log.end(3.0, 1, "w1", "done")
    log.finish(3.1, "completed")
    assert "with a change of the leader meanwhile" in log.explain().cause


def test_end_that_was_heard_of_late_is_told(log):
    log.take(1.0)
    log.start(1.1, 1, "w1")
    log.add(2.9, "dispatch: lost a worker's answer", worker="w1", fault="no answer")
    log.add(2.9, "dispatch: lost a worker's answer", worker="w2", fault="no answer")
    log.end(5.0, 1, "w1", "done")
    log.finish(5.1, "completed")
    assert log.explain().cause == (
        "3.90 s were spent while its task ran, and its worker left a hold unanswered "
        "(worker w1)"
    )


def test_attempts_before_a_job_was_taken_belong_to_its_way(log):
    for seconds, code in ((1.0, "unanswered"), (1.2, "unavailable")):
        log.add(
            seconds,
            "queues: answers a request",
            action="submit",
            path=f"/q/{ID}",
            code=code,
            reason="r",
        )
    log.take(6.0)
    log.start(6.1, 1, "w1")
    log.end(6.5, 1, "w1", "done")
    log.finish(6.6, "completed")
    assert log.explain().cause.startswith("5.00 s were spent from a first attempt")


def test_refusal_names_the_instance_and_the_next_leader(log):
    log.add(
        1.0,
        "queues: answers a request",
        instance="c",
        action="submit",
        path=f"/q/{ID}",
        code="unavailable",
        reason="no leader is known now",
    )
    log.add(1.4, "replica: leads", instance="b", term=3)
    found = log.explain()
    assert found.verdict is Verdict.REFUSED
    assert found.cause.startswith(
        "instance c answered unavailable: no leader is known now; b became the leader"
    )


def test_failure_on_workers_that_serve_others_is_the_jobs_own(log):
    log.take(1.0)
    for number in range(1, 4):
        log.start(number + 0.1, number, f"w{number}")
        log.end(number + 0.2, number, f"w{number}", "failed")
    log.finish(4.0, "failed", reason="a task failed 3 times")
    found = log.explain()
    assert found.verdict is Verdict.FAILED
    assert found.cause.endswith("the job is at fault")


def test_failure_on_a_worker_that_fails_others_too_is_told(log):
    log.take(1.0)
    log.start(1.1, 1, "w1")
    log.end(1.2, 1, "w1", "failed")
    log.add(1.3, "dispatch: sets a worker aside", worker="w1", pauses=1)
    log.finish(1.4, "failed", reason="a task failed 1 times")
    assert log.explain().cause.endswith("of which 1 were set aside for failures")


def test_lost_worker_is_named(log):
    log.take(1.0)
    log.start(1.1, 1, "w1")
    log.end(7.0, 1, "w1", "lost")
    log.start(7.1, 2, "w2")
    log.end(7.5, 2, "w2", "done")
    log.finish(7.6, "completed")
    assert (
        log.explain().cause
        == "5.90 s were spent until a lost worker was given up (worker w1)"
    )


def test_request_that_nobody_logged_is_unknown(log):
    log.take(1.0)
    found = explain_request(read_lines([log.lines]), "another")
    assert found.verdict is Verdict.UNKNOWN


def test_lines_of_two_leaders_whose_clocks_differ_are_put_together(log):
    log.take(1.05)
    log.start(1.0, 1, "w1")
    log.end(2.0, 1, "w1", "done")
    log.finish(1.98, "completed")
    assert len(log.explain().parts) == 3


def test_torn_and_foreign_lines_are_skipped(log):
    log.take(1.0)
    whole = log.lines[0]
    lines = ["no log line\n", whole[:40] + "\n", "12.5 node " + whole, "{}\n"]
    assert len(list(read_lines([lines]))) == 1


def test_command_reads_files_and_tells_what_is_unknown(log, tmp_path, capsys):
    log.take(1.0)
    path = tmp_path / "a.log"
    path.write_text("".join(log.lines))
    assert explain(ID, logs=[path], json=True) == 0
    assert json.loads(capsys.readouterr().out)["verdict"] == "unfinished"
    assert explain("f" * 16, logs=[path]) == 1
