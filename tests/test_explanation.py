"""Explanations of requests, derived from logs."""

import json

import pytest

from bluebellyoke.commands import explain
from bluebellyoke.explanation import Verdict, explain_request
from bluebellyoke.log_lines import read_lines

ID = "5c0e7a21d94b36f8"


class Log:
    """Log lines in the format in which instances write them."""

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

    def accept(self, seconds, code="accepted"):
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


def test_cause_of_a_late_request_is_its_longest_span(log):
    log.accept(1.0)
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
    explanation = log.explain()
    assert explanation.verdict is Verdict.COMPLETED
    assert explanation.cause == (
        "4.00 s passed until a start without a response was resolved (worker w1)"
    )
    assert [round(span.duration_s, 2) for span in explanation.spans] == [
        0.1,
        0.4,
        4.0,
        0.1,
        0.6,
        0.01,
    ]


def test_critical_path_leads_to_the_task_that_ended_last(log):
    log.accept(1.0)
    log.start(1.1, 1, "w1")
    log.start(1.1, 1, "w2", task=(0, 0, 1))
    log.end(1.5, 1, "w1", "done")
    log.end(3.5, 1, "w2", "done", task=(0, 0, 1))
    log.start(3.6, 1, "w3", task=(0, 1, 0))
    log.end(4.0, 1, "w3", "done", task=(0, 1, 0))
    log.finish(4.1, "completed")
    explanation = log.explain()
    assert explanation.cause == "2.40 s passed while its task ran (worker w2)"


def test_leader_change_on_the_critical_path_is_reported(log):
    log.accept(1.0)
    log.start(1.1, 1, "w1")
    log.add(2.0, "replica: leads", instance="b", term=3)
    log.end(3.0, 1, "w1", "done")
    log.finish(3.1, "completed")
    assert ", during which the leader changed" in log.explain().cause


def test_unanswered_poll_of_the_worker_is_reported(log):
    log.accept(1.0)
    log.start(1.1, 1, "w1")
    log.add(2.9, "dispatch: lost a worker's answer", worker="w1", fault="no answer")
    log.add(2.9, "dispatch: lost a worker's answer", worker="w2", fault="no answer")
    log.end(5.0, 1, "w1", "done")
    log.finish(5.1, "completed")
    assert log.explain().cause == (
        "3.90 s passed while its task ran, and its worker did not respond to a poll "
        "(worker w1)"
    )


def test_failed_attempts_before_acceptance_are_on_the_critical_path(log):
    for seconds, code in ((1.0, "unanswered"), (1.2, "unavailable")):
        log.add(
            seconds,
            "queues: answers a request",
            action="submit",
            path=f"/q/{ID}",
            code=code,
            reason="r",
        )
    log.accept(6.0)
    log.start(6.1, 1, "w1")
    log.end(6.5, 1, "w1", "done")
    log.finish(6.6, "completed")
    assert log.explain().cause.startswith(
        "5.00 s passed between the first failed attempt"
    )


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
    explanation = log.explain()
    assert explanation.verdict is Verdict.REFUSED
    assert explanation.cause.startswith(
        "instance c answered unavailable: no leader is known now; b became the leader"
    )


def test_failure_on_several_healthy_workers_is_attributed_to_the_job(log):
    log.accept(1.0)
    for number in range(1, 4):
        log.start(number + 0.1, number, f"w{number}")
        log.end(number + 0.2, number, f"w{number}", "failed")
    log.finish(4.0, "failed", reason="a task failed 3 times")
    explanation = log.explain()
    assert explanation.verdict is Verdict.FAILED
    assert explanation.cause.endswith("the job is at fault")


def test_failure_on_a_worker_set_aside_is_reported(log):
    log.accept(1.0)
    log.start(1.1, 1, "w1")
    log.end(1.2, 1, "w1", "failed")
    log.add(1.3, "dispatch: sets a worker aside", worker="w1", pauses=1)
    log.finish(1.4, "failed", reason="a task failed 1 times")
    assert log.explain().cause.endswith("of which 1 were set aside for failures")


def test_crashed_workers_of_a_job_that_was_given_up_are_named(log):
    log.accept(1.0)
    for run, worker in ((1, "w1"), (2, "w2")):
        log.start(run, run, worker)
        suspects = [[ID, 0, 0, 0, run, 40], ["another", 0, 0, 0, 1, 90]]
        log.add(
            run + 0.2, "dispatch: a worker crashed", worker=worker, suspects=suspects
        )
        log.end(run + 0.3, run, worker, "lost")
    log.add(
        2.4,
        "dispatch: a workflow ended",
        job=ID,
        outcome="failed",
        reason="2 workers crashed under task 0.0.0",
    )
    cause = log.explain().cause
    assert cause == ("2 workers crashed under task 0.0.0 (w1, w2): the job is at fault")


def test_lost_worker_is_named(log):
    log.accept(1.0)
    log.start(1.1, 1, "w1")
    log.end(7.0, 1, "w1", "lost")
    log.start(7.1, 2, "w2")
    log.end(7.5, 2, "w2", "done")
    log.finish(7.6, "completed")
    assert (
        log.explain().cause
        == "5.90 s passed until an unreachable worker was declared lost (worker w1)"
    )


def test_request_without_log_lines_is_unknown(log):
    log.accept(1.0)
    explanation = explain_request(read_lines([log.lines]), "another")
    assert explanation.verdict is Verdict.UNKNOWN


def test_lines_of_two_leaders_with_clock_skew_are_combined(log):
    log.accept(1.05)
    log.start(1.0, 1, "w1")
    log.end(2.0, 1, "w1", "done")
    log.finish(1.98, "completed")
    assert len(log.explain().spans) == 3


def test_truncated_and_other_lines_are_skipped(log):
    log.accept(1.0)
    line = log.lines[0]
    lines = ["not a log line\n", line[:40] + "\n", "12.5 node " + line, "{}\n"]
    assert len(list(read_lines([lines]))) == 1


def test_command_reads_files_and_fails_for_an_unknown_request(log, tmp_path, capsys):
    log.accept(1.0)
    path = tmp_path / "a.log"
    path.write_text("".join(log.lines))
    assert explain(ID, logs=[path], json=True) == 0
    assert json.loads(capsys.readouterr().out)["verdict"] == "unfinished"
    assert explain("f" * 16, logs=[path]) == 1


def test_refused_cancellation_does_not_count_as_cancelled(log):
    """Guards against a verdict that a caller without a credential determines."""
    log.accept(1.0)
    log.add(2.0, "dispatch: cancels a workflow", job=ID, code="unauthenticated")
    assert log.explain().verdict is Verdict.UNFINISHED
    log.add(3.0, "dispatch: cancels a workflow", job=ID, code="accepted")
    assert log.explain().verdict is Verdict.CANCELLED


# Guards against a wait for the quota that is put down to full workers.
def test_wait_for_the_quota_is_named(log):
    log.accept(1.0)
    log.add(
        2.5,
        "dispatch: a step waits",
        job=ID,
        step=[0, 0],
        reason="quota",
        waited_s=1.0,
    )
    log.start(4.0, 1, "w1")
    log.end(4.5, 1, "w1", "done")
    log.finish(4.6, "completed")
    assert "3.00 s passed while it waited for the quota" in log.explain().cause


# Guards against a choice of a worker that an operator cannot explain.
def test_task_that_was_kept_apart_is_explained(log):
    log.accept(1.0)
    log.add(
        1.19,
        "dispatch: kept a task apart",
        job=ID,
        task=[0, 0, 0],
        run=1,
        worker="w2",
        image="batch",
        other="web",
        avoided="w1",
        factor=1.8,
    )
    log.start(1.2, 1, "w2")
    log.end(2.0, 1, "w2", "done")
    log.finish(2.0, "completed")
    span = log.explain().spans[0]
    assert "kept apart from image web on w1: 1.8 times as long" in span.description


# Guards against a backfill task whose long run time has no visible cause.
@pytest.mark.parametrize("is_stopped", [False, True])
def test_run_that_was_paced_is_explained(log, is_stopped):
    log.accept(1.0)
    log.start(1.2, 1, "w2")
    fields = {"job": ID, "task": [0, 0, 0], "run": 1, "worker": "w2", "image": "web"}
    log.add(2.0, "dispatch: paces a run", percent=0, **fields)
    log.add(9.0, "dispatch: paces a run", percent=20, **fields)
    if is_stopped:
        log.add(9.5, "dispatch: stops a paced run", reason="no effect", **fields)
    log.end(10.0, 1, "w2", "stopped" if is_stopped else "done")
    log.finish(10.0, "completed")
    explanation = log.explain()
    text = "slowed down to 0 percent beside image web"
    assert text in explanation.cause
    assert ("and stopped for it" in explanation.cause) is is_stopped
