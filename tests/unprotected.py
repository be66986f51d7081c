"""Mutation tests: each safety check is covered by a test that fails without it.

Each case removes one safety check from a copy of the tree and runs the tests that
have to detect this. Run it with `make unprotected`; a case passes if its tests fail.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "src/bluebellyoke"
TIMEOUT_S = 600


@dataclass(frozen=True)
class Case:
    """A safety check, how to remove it, and the tests that have to fail.

    Attributes:
        name: The safety check.
        file: File of the package that implements it.
        old: Text of the file that is replaced; it occurs exactly once.
        new: Text without the check.
        test: Arguments of pytest that select the tests.
        extra_replacements: Further (file, old, new) if several places
            implement the same check.
    """

    name: str
    file: str
    old: str
    new: str
    test: str
    extra_replacements: tuple[tuple[str, str, str], ...] = ()


CASES = [
    Case(
        "a task keeps its place while a start of it may be carried out",
        "dispatch/missing_runs.py",
        "return is_open and not self._stopper.has_workflow_ended(key[0])",
        "return False",
        "tests/dispatch/test_late_starts.py",
    ),
    Case(
        "a task keeps its place when its worker crashes under the next run",
        "workflow/store.py",
        "if key in unsettled or self.run_states.is_open(key, time):",
        "if key in unsettled:",
        "tests/dispatch/test_late_starts.py",
    ),
    Case(
        "a task ends in its place only once no start of it may be carried out",
        "workflow/workflow.py",
        "not is_releasing and time < task.open_until",
        "False",
        "tests/dispatch/test_late_starts.py",
    ),
    Case(
        "a run in a kept place is not counted from a leader to the next",
        "dispatch/unsettled_runs.py",
        "removed_at = max(map(self._context.store.run_states.find_kept_since, runs))",
        "removed_at = 0.0",
        "tests/dispatch/test_unsettled_waits.py",
    ),
    Case(
        "a run in a kept place has a fencing token of its own",
        "dispatch/run_replacement.py",
        "    worker.fence = context.create_fence()\n",
        "",
        "tests/dispatch/test_returned_random.py",
    ),
    Case(
        "a leader sends no start whose lease has run out since its plan",
        "dispatch/starts.py",
        "self._context.now - planned_at >= self._context.times.lease_s",
        "False",
        "tests/dispatch/test_returned_new_leader.py",
    ),
    Case(
        "a late start that is done is the end of its task",
        "dispatch/polls.py",
        "collect_late_ends(self._context, worker, report)",
        "[]",
        "tests/dispatch/test_returned_random.py",
    ),
    Case(
        "crashes of a gang in an old snapshot count for no task",
        "workflow/crashes.py",
        "return crash.names_task or not self._is_gang(task)",
        "return True",
        "tests/workflow/test_crashes.py",
    ),
    Case(
        "an unexpected error is contained",
        "containment.py",
        "        except CONTAINED_ERRORS:\n",
        "        except ():\n",
        "tests/dispatch/test_containment.py -k planned",
    ),
    Case(
        "an estimate that is too short for the clocks is unknown",
        "workflow/bounds.py",
        "0.0 if 0 < duration_ms < MIN_DURATION_MS else duration_ms",
        "duration_ms",
        "tests/workflow/test_bounds.py",
    ),
    Case(
        "a workflow belongs to the address of its queue, whatever that is called",
        "workflow/requests.py",
        "        if address != NO_ADDRESS:\n            return address\n",
        "",
        "tests/dispatch/test_renamed_queue.py",
    ),
    Case(
        "a known job answers by its own record, before the configuration",
        "dispatch/queue_requests.py",
        "        workflow = store.find_workflow(body.host, body.path)\n",
        "        workflow = None\n",
        "tests/dispatch/test_repeated_requests.py",
    ),
    Case(
        "a submission beside one that waits for its commit is left to the log",
        "dispatch/queue_requests.py",
        "if is_new and self._is_submitting(body):",
        "if False:",
        "tests/dispatch/test_repeated_requests.py",
    ),
    Case(
        "a request that is sent again keeps the time of its arrival",
        "instance/link.py",
        "age_s=now - pending.arrived_at",
        "age_s=0.0",
        "tests/instance/test_link.py",
    ),
    Case(
        "a cancel of an unknown job refuses its submission",
        "workflow/requests.py",
        "        if refusal is not None:\n            return refusal\n",
        "",
        "tests/dispatch/test_late_submissions.py",
    ),
    Case(
        "a remembered cancel is in the snapshot",
        "workflow/store.py",
        "            self.early_cancels.dump(),\n",
        "",
        "tests/dispatch/test_late_submissions.py",
    ),
    Case(
        "a cancel that finds no room to be remembered is not acknowledged",
        "cell/early_cancels.py",
        "> MAX_EARLY_CANCELS:\n            return False\n",
        "> MAX_EARLY_CANCELS:\n            return True\n",
        "tests/dispatch/test_late_submissions.py",
    ),
    Case(
        "a submission that may be older than a remembered cancel is not passed on",
        "instance/queues.py",
        "draft is not None and unread_s > MAX_UNREAD_S",
        "False",
        "tests/instance/test_stalls.py",
    ),
    Case(
        "a submission that was pending for too long is refused by the leader",
        "dispatch/queue_requests.py",
        "if is_new and age_s > MAX_PENDING_S:",
        "if False:",
        "tests/dispatch/test_late_submissions.py",
    ),
    Case(
        "a run that the next incarnation of its worker may have keeps its place",
        "dispatch/unsettled_runs.py",
        "        return tuple(list_unsettled_runs(worker))\n",
        "        return ()\n",
        "tests/dispatch/test_late_starts.py tests/dispatch/test_new_leader.py",
    ),
    Case(
        "a response to a start is no proof of the incarnation that began the run",
        "dispatch/starts.py",
        "is_clock_of(worker, event.clock_ms, run.sent_at, now)\n        if",
        "True\n        if",
        "tests/dispatch/test_incarnations.py",
    ),
    Case(
        "a run on a silent worker outlasts the longest lease of its next incarnation",
        "dispatch/incarnations.py",
        "    return worker.lease_requested_at + compute_longest_lease(times)\n",
        "    return worker.lease_requested_at\n",
        "tests/dispatch/test_run_evidence.py -k silent",
    ),
    Case(
        "a new incarnation of a worker keeps the runs that are not confirmed",
        "workflow/store.py",
        "            unsettled = self._list_unconfirmed_runs(known.key)\n",
        "            unsettled = []\n",
        "tests/workflow/test_store.py",
    ),
    Case(
        "a new leader knows which runs were confirmed",
        "dispatch/registry.py",
        "is_confirmed=self._context.store.run_states.is_confirmed(key)",
        "is_confirmed=False",
        "tests/dispatch/test_worker_evidence.py -k new_leader",
    ),
    Case(
        "the calls for an earlier incarnation of a worker are fenced off",
        "dispatch/context.py",
        " * FENCES_PER_TERM + self.created_fences\n",
        " * FENCES_PER_TERM\n",
        "tests/dispatch/test_new_leader.py tests/dispatch/test_lease_ends.py",
    ),
    Case(
        "a poll after a failed one acknowledges no end",
        "dispatch/reported_ends.py",
        "    is_due = worker.has_listed_ends and not worker.failures\n",
        "    is_due = True\n",
        "tests/dispatch/test_returned_acknowledgements.py",
    ),
    Case(
        "a run that the next incarnation may have is not lost with the former",
        "dispatch/incarnations.py",
        "    return worker.identified_at < run.sent_by + MAX_CALL_DELAY_S\n",
        "    return False\n",
        "tests/dispatch/test_returned_incarnations.py",
    ),
    Case(
        "a clock that the next incarnation may have confirms no run",
        "dispatch/incarnations.py",
        " and clock_ms > successor_ms\n",
        "\n",
        "tests/dispatch/test_returned_random.py -k clock",
    ),
    Case(
        "an unsettled run ends after the longest lease, not with that of the worker",
        "dispatch/unsettled_runs.py",
        "now >= removed.lease_end or",
        "True or",
        "tests/dispatch/test_returned_incarnations.py -k longest_lease",
    ),
    Case(
        "an incarnation that has answered refuses the calls for the one before",
        "dispatch/context.py",
        "* FENCES_PER_TERM + self.created_fences\n",
        "* FENCES_PER_TERM\n",
        "tests/dispatch/test_returned_calls.py -k refuses_the_calls",
    ),
    Case(
        "a confirmation is one of an incarnation",
        "workflow/workflow.py",
        "        task.incarnation = incarnation\n        task.confirmed = False\n",
        "        task.incarnation = incarnation\n        task.confirmed = True\n",
        "tests/workflow/test_unsettled_runs.py",
    ),
    Case(
        "a crash counts for an unsettled run once the next incarnation lacks it",
        "workflow/crashes.py",
        "x.run for x in self.crashes if x.is_settled and (x.has_begun or x.is_proved)",
        "x.run for x in self.crashes if x.has_begun or x.is_proved",
        "tests/dispatch/test_returned_crashes.py",
    ),
    Case(
        "a crash is not one of a run that has outlived it",
        "workflow/crash_recorder.py",
        "        self.crashes.withdraw(unsettled.worker_key, unsettled.task)\n",
        "        self.crashes.confirm(unsettled.worker_key, unsettled.task)\n",
        "tests/workflow/test_unsettled_runs.py",
    ),
    Case(
        "a reply of a proxy is no proof that a run has not begun",
        "dispatch/starts.py",
        "    StartResult.BAD_TICKET,\n}\n",
        "    StartResult.BAD_TICKET,\n    StartResult.UNHEALTHY,\n"
        "    StartResult.INVALID,\n}\n",
        "tests/dispatch/test_run_evidence.py -k begun",
    ),
    Case(
        "a refusal as outdated is no proof that a run has not begun",
        "dispatch/starts.py",
        "    StartResult.BAD_TICKET,\n}\n",
        "    StartResult.BAD_TICKET,\n    StartResult.OUTDATED,\n}\n",
        "tests/dispatch/test_run_evidence.py -k outdated",
    ),
    Case(
        "the state of a start without proof is looked up at once",
        "dispatch/starts.py",
        "        if event.error is not None or not never_ran:\n",
        "        if event.error is not None:\n",
        "tests/dispatch/test_run_evidence.py -k soon",
    ),
    Case(
        "stops that block a run are limited",
        "dispatch/stops.py",
        "            if run.phase is RunPhase.BLOCKING and is_repeated:\n",
        "            if False:\n",
        "tests/dispatch/test_run_evidence.py -k few_calls",
    ),
    Case(
        "the lease of a start counts from its plan",
        "dispatch/starts.py",
        "worker.extend_lease(planned_at, ",
        "worker.extend_lease(self._context.now, ",
        "tests/dispatch/test_run_evidence.py -k long_after",
    ),
    Case(
        "no lease is renewed while the end of its session is proposed",
        "leader/workers.py",
        "        if worker.name in self._ending:\n",
        "        if False:\n",
        "tests/leader/test_run_evidence.py -k proposed_end",
    ),
    Case(
        "a first heartbeat ends no live session",
        "leader/workers.py",
        "            if self._may_be_delayed(worker, heartbeat):\n",
        "            if False:\n",
        "tests/leader/test_run_evidence.py -k delayed",
    ),
    Case(
        "a repeated heartbeat is no second one",
        "leader/workers.py",
        " and heartbeat.sequence > sequence:\n",
        ":\n",
        "tests/leader/test_run_evidence.py -k delayed",
    ),
    Case(
        "a late message does not shorten a lease",
        "leader/leases.py",
        "max(expiry, now + self._timeout_s)",
        "now + self._timeout_s",
        "tests/leader/test_run_evidence.py -k late_admission",
    ),
    Case(
        "the expiry of a released claim leaves the next one",
        "cell/claims.py",
        "            elif due >= claim.expires + OUTCOME_RETENTION_S:\n",
        "            elif due >= claim.expires:\n",
        "tests/cell/test_claim_expiry.py -k released",
    ),
    Case(
        "a claim expires at the earliest when it is made",
        "cell/claims.py",
        "max(command.expires, command.time)",
        "command.expires",
        "tests/cell/test_claim_expiry.py -k slow_clock",
    ),
    Case(
        "a number that is not whole names no run",
        "platform/status.py",
        "    if value != int(value):\n",
        "    if False:\n",
        "tests/platform/test_status.py -k odd_row",
    ),
    Case(
        "a refused connection is no proof of the end of a process",
        "dispatch/polls.py",
        "is_other_life and self._registry.has_successor(worker)",
        "worker.is_refusing",
        "tests/dispatch/test_refused_connections.py",
    ),
    Case(
        "another process at the address is no proof of the end of a process",
        "dispatch/polls.py",
        "is_other_life and self._registry.has_successor(worker)",
        "is_other_life",
        "tests/dispatch/test_refused_connections.py",
    ),
    Case(
        "an earlier incarnation tells nothing of a later one",
        "dispatch/polls.py",
        "event.report.incarnation > worker.spec.incarnation",
        "True",
        "tests/dispatch/test_refused_connections.py",
    ),
    Case(
        "refusals until the end of the lease make suspects",
        "dispatch/crashes.py",
        "CrashEvidence.REFUSALS if worker.is_refusing else CrashEvidence.NONE",
        "CrashEvidence.NONE",
        "tests/dispatch/test_crash_evidence.py",
    ),
    Case(
        "the next incarnation proves a crash after the end of the lease",
        "workflow/store.py",
        "        if known is None or known.incarnation != spec.incarnation:\n",
        "        if False:\n",
        "tests/workflow/test_lost_workers.py",
    ),
    Case(
        "a crash that is not proved gives no job up",
        "workflow/crashes.py",
        "self._find_cause(young, runs) if is_proved else None",
        "self._find_cause(young, runs)",
        "tests/workflow/test_lost_workers.py",
    ),
    Case(
        "a removed queue keeps its advisor and priority",
        "workflow/queues.py",
        "self._configured.get(address) or self._removed.get(address)",
        "self._configured.get(address)",
        "tests/dispatch/test_removed_queue.py",
    ),
    Case(
        "a run in unreadable rows only is lost in the end",
        "dispatch/open_states.py",
        "return now - worker.unreadable_since > MAX_UNREADABLE_S",
        "return False",
        "tests/dispatch/test_odd_rows.py",
    ),
    Case(
        "a poll whose event is lost counts as unanswered",
        "dispatch/polls.py",
        "worker.poll_sent_at is not None and now - worker.poll_sent_at > LOST_POLL_S",
        "False",
        "tests/dispatch/test_lost_events.py",
    ),
    Case(
        "a start whose event is lost counts as unanswered",
        "dispatch/starts.py",
        "            and now - run.sent_at > LOST_START_S\n",
        "            and False\n",
        "tests/dispatch/test_lost_events.py",
    ),
    Case(
        "an order of a pace whose event is lost counts as unanswered",
        "dispatch/pace_orders.py",
        "paced.sent_at is not None and now - paced.sent_at > LOST_ORDER_S",
        "False",
        "tests/dispatch/test_pacing.py -k event_of_an_order",
    ),
    Case(
        "a run that its log entry has ended is not started",
        "dispatch/starts.py",
        "        return (start.task, start.run) in self._context.store.runs.get("
        "worker_key, {})\n",
        "        return True\n",
        "tests/dispatch/test_command_order.py",
    ),
    Case(
        "no run is started on a worker whose removal is proposed",
        "dispatch/starts.py",
        "            elif worker.is_being_removed:\n",
        "            elif False:\n",
        "tests/dispatch/test_command_order.py",
    ),
    Case(
        "a worker is tracked afresh after its removal",
        "dispatch/registry.py",
        "        self._drop_removed(worker)\n",
        "",
        "tests/dispatch/test_command_order.py",
    ),
    Case(
        "the tracked runs are compared with the replicated state",
        "dispatch/polls.py",
        "        repair_runs(self._context, worker, now)\n",
        "",
        "tests/dispatch/test_run_check.py",
    ),
    Case(
        "runs that were young at a crash are suspects",
        "dispatch/crashes.py",
        "    return is_young and not run.is_cleared\n",
        "    return False\n",
        "tests/dispatch/test_crashes.py tests/dispatch/test_crash_evidence.py",
    ),
    Case(
        "an expired lease is no crash",
        "dispatch/crashes.py",
        "    if reason is not RemovalReason.LEASE_EXPIRED:\n",
        "    if True:\n",
        "tests/dispatch/test_crash_evidence.py",
    ),
    Case(
        "a start that a silent worker left unanswered is no run",
        "dispatch/crashes.py",
        "run.phase in _CONFIRMED_PHASES or not run.has_start_timed_out",
        "True",
        "tests/dispatch/test_crash_evidence.py",
    ),
    Case(
        "runs of a worker that ends are started again soon",
        "dispatch/workers.py",
        "times.leaving_lease_s if is_ending else times.lease_s",
        "times.lease_s",
        "tests/dispatch/test_leaving_workers.py",
    ),
    Case(
        "access: a caller needs a credential",
        "workflow/access.py",
        "    if not workspace and (owner or not is_public):\n",
        "    if not workspace and owner:\n",
        "tests/workflow/test_access.py tests/dispatch/test_access.py",
    ),
    Case(
        "access: a workflow admits only its workspace",
        "workflow/access.py",
        "    if owner and owner != workspace:\n",
        "    if False:\n",
        "tests/workflow/test_access.py tests/dispatch/test_access.py",
    ),
    Case(
        "access: a whole digest is compared",
        "workflow/access.py",
        "digest.startswith(prefix) and hmac.compare_digest(digest, credential)",
        "digest.startswith(prefix)",
        "tests/workflow/test_access.py",
    ),
    Case(
        "access: the store decides again on a submission",
        "workflow/requests.py",
        "        decision = self._authorize(command, spec.address, known)\n",
        "        decision = AccessDecision(workspace=spec.workspace)\n",
        "tests/dispatch/test_access.py",
    ),
    Case(
        "access: the store decides again on a cancellation",
        "workflow/requests.py",
        "        decision = self._authorize(command, address, workflow)\n",
        "        decision = AccessDecision()\n",
        "tests/dispatch/test_access.py",
    ),
    Case(
        "access: an accepted job is not reported as refused",
        "workflow/access.py",
        "    if submits:\n        # The caller",
        "    if False:\n        # The caller",
        "tests/dispatch/test_access.py",
    ),
    Case(
        "access: a refused cancellation stops no run",
        "dispatch/dispatcher.py",
        "            if result.accepted:\n                self.advice.drop_workflow",
        "            if True:\n                self.advice.drop_workflow",
        "tests/dispatch/test_access.py",
    ),
    Case(
        "access: two workspaces share no key",
        "workflow/configuration.py",
        "        owners.update(dict.fromkeys(digests, workspace.name))\n",
        "",
        "tests/workflow/test_configuration.py",
    ),
    Case(
        "access: logs show no whole digest",
        "dispatch/queue_requests.py",
        "body.credential[:LOGGED_DIGITS]",
        "body.credential",
        "tests/dispatch/test_access.py",
    ),
    Case(
        "a worker with a suspect gets no other task",
        "dispatch/workers.py",
        "            and self.suspects <= {replaced}\n",
        "",
        "tests/dispatch/test_isolation.py",
    ),
    Case(
        "a task is given up only for a crash alone",
        "workflow/crashes.py",
        "        if len({self._get_group(task) for task in young}) != 1:\n",
        "        if not young:\n",
        "tests/workflow/test_crashes.py",
    ),
    Case(
        "a cause clears the other tasks of its crashes",
        "workflow/crashes.py",
        "            self._explain(cause)\n",
        "            pass\n",
        "tests/dispatch/test_crashes.py tests/workflow/test_crashes.py",
    ),
    Case(
        "crashes are part of a snapshot",
        "workflow/crash_recorder.py",
        "CrashHistory(snapshot.crashes, is_gang=self._is_gang)",
        "CrashHistory(is_gang=self._is_gang)",
        "tests/dispatch/test_crashes.py",
    ),
    Case(
        "the number of workers used for suspects is bounded",
        "dispatch/isolation.py",
        "        return not used or used + len(workers) <= places\n",
        "        return True\n",
        "tests/dispatch/test_crashes.py tests/dispatch/test_isolation.py",
    ),
    Case(
        "an older report of a worker is not taken by the leader",
        "dispatch/registry.py",
        "        newest = max(known.sequence, self._sequences.get(spec.key, 0))\n"
        "        if known",
        "        newest = 0\n        if known",
        "tests/dispatch/test_capacity.py",
    ),
    Case(
        "an older report of a worker is not taken by the log",
        "workflow/store.py",
        "            and known.sequence > spec.sequence\n",
        "            and False\n",
        "tests/workflow/test_store.py -k older_report",
    ),
    Case(
        "a new leader takes no larger capacity from a first report",
        "dispatch/registry.py",
        "        return may_be_late and not spec.capacity.fits_in(known.capacity)\n",
        "        return False\n",
        "tests/dispatch/test_capacity.py",
    ),
    Case(
        "a planned run is not sent to a worker that has shrunk",
        "dispatch/starts.py",
        "        return is_overcommitted and allocation != Resources()\n",
        "        return False\n",
        "tests/dispatch/test_capacity.py",
    ),
    Case(
        "an instance that does not answer is paused ever longer",
        "dispatch/advice.py",
        "            FAILURE_BACKOFF_S, self.failures, MAX_FAILURE_BACKOFF_S\n",
        "            FAILURE_BACKOFF_S, 0, MAX_FAILURE_BACKOFF_S\n",
        "tests/dispatch/test_advice.py",
    ),
    Case(
        "sound instances are used before those that have failed",
        "dispatch/advice.py",
        "        idle.sort(key=lambda instance: -instance.failures)\n",
        "",
        "tests/dispatch/test_advice.py",
    ),
    Case(
        "a start refused as malformed is not repeated at once",
        "dispatch/starts.py",
        "            self._planner.pause(step, now)\n",
        "            pass\n",
        "tests/dispatch/test_dispatcher.py -k malformed",
    ),
    Case(
        "an undocumented response to a start is no refusal",
        "platform/clients.py",
        "        # A proxy or a failing worker may respond after the run has begun.\n"
        "        raise NoAnswerError(",
        "        return StartResult.INVALID\n        raise NoAnswerError(",
        "tests/platform/test_clients.py",
    ),
    Case(
        "an impossible acknowledgement ends the stream only",
        "instance/peers.py",
        "        if not 0 <= newly_received <= len(pending_since):\n",
        "        if False:\n",
        "tests/instance/test_peers.py -k impossible",
    ),
    Case(
        "silence during a transfer is no lost leader",
        "instance/link.py",
        "            silent_since = max(self._silent_since, self._tolerant_until)\n",
        "            silent_since = self._silent_since\n",
        "tests/instance/test_link.py -k during_a_transfer",
    ),
    Case(
        "a large configuration is not relayed to the leader",
        "instance/queues.py",
        "        if size <= MAX_RELAYED_BYTES:\n",
        "        if size:\n",
        "tests/instance/test_queues.py",
    ),
    Case(
        "a large configuration is not relayed from the leader",
        "leader/queries.py",
        "        if query.max_bytes and len(document) > query.max_bytes:\n",
        "        if False:\n",
        "tests/integration/test_platform.py -k large_configuration",
    ),
    Case(
        "a renewal asks about all tickets of a large pool",
        "dispatch/advice.py",
        "            self._queue(step, worker_keys, spec, rank, is_renewal=True)\n",
        "            selected = worker_keys[:MAX_WORKERS_PER_CALL]\n"
        "            self._queue(step, selected, spec, rank, is_renewal=True)\n",
        "tests/dispatch/test_advice.py",
    ),
    Case(
        "calls that renew the tickets of a step are bounded",
        "dispatch/advice.py",
        "        if advice.renewal_calls + _count_calls(len(worker_keys)) <= max",
        "        if max_calls and max",
        "tests/dispatch/test_advice.py",
    ),
    Case(
        "a gang that can never fit reserves no workers",
        "dispatch/reservations.py",
        "    if sum(places.values()) < step.spec.count:\n",
        "    if False:\n",
        "tests/dispatch/test_planner.py",
    ),
    Case(
        "workers with valid tickets are used first",
        "dispatch/placement.py",
        "        is_deferred = candidate.worker in self._deferred\n",
        "        is_deferred = False\n",
        "tests/dispatch/test_planner.py",
    ),
    Case(
        "tickets are renewed beside a question about new workers",
        "dispatch/advice.py",
        "        if all(advice.is_ticket_valid(x, until) for x in worker_keys):\n",
        "        if advice.pending:\n",
        "tests/dispatch/test_advice.py",
    ),
    Case(
        "a placed step asks about no further workers",
        "dispatch/planner.py",
        "        else:\n"
        "            self._tickets.request_missing(step, pool, planning)\n",
        "        self._tickets.request_missing(step, pool, planning)\n",
        "tests/dispatch/test_planner.py",
    ),
    Case(
        "a placed step withdraws its queued calls",
        "dispatch/advice.py",
        "            self._requests.remove(request)\n",
        "",
        "tests/dispatch/test_advice.py",
    ),
    Case(
        "the planner learns of a workflow whose run has ended",
        "workflow/store.py",
        "        self._changed.add(end.task.workflow)\n",
        "",
        "tests/dispatch/test_planner_differential.py",
    ),
    Case(
        "the planner learns of a cancelled workflow",
        "workflow/store.py",
        "        self._changed.add(command.workflow)\n",
        "",
        "tests/dispatch/test_planner_differential.py",
    ),
    Case(
        "a response after the end of its call is not taken for the next one",
        "instance/http_calls.py",
        "            # A second response could be mistaken for that of the next call.\n"
        "            self.close()\n",
        "",
        "tests/instance/test_http_calls.py",
    ),
    Case(
        "a peer that acknowledges nothing gets a new stream",
        "instance/peers.py",
        "            tasks.start_soon(_watch_acknowledgements, pending_since)\n",
        "",
        "tests/instance/test_peers.py",
    ),
    Case(
        "a message that cannot be decoded ends its stream only",
        "instance/streams.py",
        "    msgspec.MsgspecError,\n",
        "",
        "tests/instance/test_link.py",
    ),
    Case(
        "a leader that is silent during a call is abandoned",
        "instance/link.py",
        "                self.request_poll()\n",
        "                pass\n",
        "tests/instance/test_link.py",
    ),
    Case(
        "a replica answers a join request with the addresses that it knows",
        "instance/membership.py",
        "            self._send(address, messages.PeerList(0, replicas))\n",
        "            pass\n",
        "tests/instance/test_membership.py",
    ),
    Case(
        "an instance without a replica answers a join request",
        "instance/directory_service.py",
        "            self._send_addresses(envelope.origin)\n",
        "            pass\n",
        "tests/instance/test_directory.py",
    ),
    Case(
        "a search for a replica uses the addresses that the leader has sent",
        "instance/directory.py",
        "                (*self._from_leader, *self._from_peers,",
        "                (*self._from_peers,",
        "tests/instance/test_directory.py",
    ),
    Case(
        "a replica stores the sender of a message for its predecessor",
        "instance/replica.py",
        "            self._directory.record_sender(envelope.origin)\n",
        "            pass\n",
        "tests/integration/test_joining.py -k absent",
    ),
    Case(
        "a removed voter that returns asks to join again",
        "instance/membership.py",
        "return is_member and now - raft.leader_contact_at <= REJOIN_AFTER_S",
        "return is_member",
        "tests/instance/test_membership_stateful.py",
    ),
    Case(
        "a stopping voter asks for its replacement",
        "instance/membership.py",
        "            self._send_leave_notice()\n",
        "            pass\n",
        "tests/instance/test_membership_stateful.py",
    ),
    Case(
        "a voter that is gone for good is replaced by a spare in time",
        "platform/settings.py",
        "REPLACE_AFTER_S = 2.0",
        "REPLACE_AFTER_S = 30.0",
        "tests/platform/test_settings.py",
    ),
    Case(
        "a leader that was paused observes its followers anew",
        "instance/membership.py",
        "        return now - self._observing_since >= OBSERVATION_S\n",
        "        return True\n",
        "tests/instance/test_membership.py",
    ),
    Case(
        "a learner that was removed as dead cannot join at once",
        "instance/membership.py",
        "            self._rejected_until[learner] = now + REJECTION_S\n",
        "            pass\n",
        "tests/instance/test_membership.py",
    ),
    Case(
        "voters reject candidates while they have a live leader",
        "consensus/raft.py",
        "if self._has_live_leader(now) and not request.transfer:",
        "if False:",
        "tests/consensus",
    ),
    Case(
        "a restarted voter waits before it votes",
        "consensus/raft.py",
        "        self.leader_contact_at = now\n        self._transfer_target",
        "        self.leader_contact_at = -1e9\n        self._transfer_target",
        "tests/consensus",
    ),
    Case(
        "an entry of an earlier term is not counted as committed",
        "consensus/raft.py",
        "if index > self.commit_index and self.log.find_term(index) == self.term:",
        "if index > self.commit_index:",
        "tests/consensus",
    ),
    Case(
        "a vote is synced before it is sent",
        "consensus/raft.py",
        "                self._set_term(self.term, source)\n",
        "                self.voted_for = source\n",
        "tests/consensus",
    ),
    Case(
        "a vote is granted only to an up-to-date log",
        "consensus/raft.py",
        "granted = up_to_date and request.term == self.term and can_vote",
        "granted = request.term == self.term and can_vote",
        "tests/consensus",
    ),
    Case(
        "a leader gives up its lease before it transfers leadership",
        "consensus/raft.py",
        "        if self._transfer_target:\n"
        "            return False\n        return now <",
        "        return now <",
        "tests/consensus",
    ),
    Case(
        "one membership change at a time",
        "consensus/raft.py",
        "            and self.commit_index >= self._membership_tracker.index\n",
        "",
        "tests/consensus",
    ),
    Case(
        "a pre-vote precedes a new term",
        "consensus/raft.py",
        "self._campaign(now, pre=True)",
        "self._campaign(now, pre=False)",
        "tests/consensus",
    ),
    Case(
        "a frame's checksum is verified",
        "consensus/frames.py",
        "if len(body) < length or zlib.crc32(body) != body_crc:",
        "if len(body) < length:",
        "tests/consensus/test_storage.py",
    ),
    Case(
        "only a torn record at the end of the log is truncated",
        "consensus/storage.py",
        "if body is None and is_last and is_torn(data, offset):",
        "if body is None:",
        "tests/consensus/test_storage.py",
    ),
    Case(
        "a failed sync is final",
        "consensus/storage.py",
        "            self._failed = True\n            raise DiskError(Path(self.",
        "            raise DiskError(Path(self.",
        "tests/consensus/test_storage.py",
    ),
    Case(
        "a voter is removed only after its replacement votes",
        "consensus/membership_planner.py",
        "if len(membership.voters) > options.target_voters:",
        "if dead_voters or len(membership.voters) > options.target_voters:",
        "tests/consensus/test_membership_planner.py",
    ),
    Case(
        "a learner votes only after it has caught up",
        "consensus/membership_planner.py",
        "            now - progress.last_reply_at > UNREACHABLE_AFTER_S\n"
        "            or not progress.match_index\n",
        "            False\n",
        "tests/consensus/test_membership_planner.py",
    ),
    Case(
        "a new learner gets time to answer",
        "consensus/replication.py",
        "return max(self.last_reply_at, self.tracked_since)",
        "return self.last_reply_at",
        "tests/consensus/test_membership_planner.py",
    ),
    Case(
        "a worker is never overcommitted",
        "cell/scheduling.py",
        "return worker.can_hold(need) and workspace.has_quota_for(need)",
        "return workspace.has_quota_for(need)",
        "tests/cell",
    ),
    Case(
        "a report is accepted for its own epoch only",
        "cell/scheduling.py",
        "if task is None or task.epoch != report.epoch:",
        "if task is None:",
        "tests/cell",
    ),
    Case(
        "a report is accepted for its own session only",
        "cell/scheduling.py",
        "if worker.name != worker_name or worker.session != session:",
        "if worker.name != worker_name:",
        "tests/cell",
    ),
    Case(
        "a non-restartable task with unknown outcome is not run again",
        "cell/scheduling.py",
        "        elif job.is_restartable:\n            self._requeue(task, now)\n"
        "            if job.is_gang",
        "        elif True:\n            self._requeue(task, now)\n"
        "            if job.is_gang",
        "tests/cell",
    ),
    Case(
        "a gang starts only as a whole",
        "cell/scheduling.py",
        "if is_gang and len(placed) < len(group):",
        "if False:",
        "tests/cell",
    ),
    Case(
        "a cancelled task keeps its resources until it has stopped",
        "cell/scheduling.py",
        "            self._request_stop(task, TaskState.CANCELLING, now)\n",
        "            self._release_resources(task)\n"
        "            self._finish_task(task, TaskState.CANCELLED, now)\n",
        "tests/cell",
    ),
    Case(
        "an older ticket never reverts a newer state",
        "cell/tickets.py",
        "        if number > self.last_number:\n            return None\n"
        "        record = self.records.get(number)\n",
        "        record = self.records.get(number)\n"
        "        if record is None:\n            return None\n",
        "tests/cell/test_tickets.py",
    ),
    Case(
        "of two tickets with one number the first wins",
        "cell/tickets.py",
        "if record is not None and record.digest == digest:",
        "if record is not None:",
        "tests/cell/test_tickets.py",
    ),
    Case(
        "a malformed ticket changes nothing",
        "cell/state.py",
        "        if errors:\n",
        "        if len(errors) > 9:\n",
        "tests/cell/test_tickets.py",
    ),
    Case(
        "a key is claimed once",
        "cell/claims.py",
        "        if existing is not None:\n"
        "            return self._handle_existing_claim(existing, command)\n",
        "",
        "tests/cell/test_claims.py",
    ),
    Case(
        "a past session of a worker is never accepted again",
        "cell/scheduling.py",
        "if existing is not None and command.session in existing.past_sessions:",
        "if False:",
        "tests/cell",
    ),
    Case(
        "tasks move only after the worker's lease and grace period",
        "leader/workers.py",
        "duration_s=options.worker_lease_s, grace_s=options.worker_grace_s",
        "duration_s=options.worker_lease_s, grace_s=-options.worker_grace_s",
        "tests/leader/test_workers.py",
    ),
    Case(
        "a new leader waits for the leases of workers",
        "leader/workers.py",
        "self._leases.renew(worker.name, now)\n\n    def close",
        "self._leases.renew(worker.name, now - 6)\n\n    def close",
        "tests/leader/test_workers.py",
    ),
    Case(
        "an out-of-order heartbeat is ignored",
        "leader/workers.py",
        "heartbeat.sequence < sequence:",
        "heartbeat.sequence < -1:",
        "tests/leader",
    ),
    Case(
        "a gang member that ends during the gang's restart runs again",
        "cell/scheduling.py",
        "if job.is_gang and task.state is TaskState.STOPPING:",
        "if False:",
        "tests/cell",
    ),
    Case(
        "tasks are preempted on an overcommitted worker",
        "placement/engine.py",
        "        self._relieve_overcommitted(now, result)\n",
        "",
        "tests/placement",
    ),
    Case(
        "urgent jobs preempt other tasks",
        "placement/engine.py",
        "                    self._preempt_for_urgent(scheduling, job, now, result)\n",
        "",
        "tests/placement",
    ),
    Case(
        "resources are reserved for starving jobs",
        "placement/engine.py",
        "        self._reservations.reserve_if_starved(scheduling, job, now)\n",
        "",
        "tests/placement",
    ),
    Case(
        "tasks are preempted for fair sharing",
        "placement/engine.py",
        "victims = self._preemption.plan_for_fairness(scheduling, job, now)",
        "victims = []",
        "tests/placement",
    ),
    Case(
        "non-restartable tasks are not preempted",
        "placement/preemption.py",
        "            and task.job.is_restartable\n",
        "",
        "tests/placement",
        extra_replacements=(
            (
                "cell/scheduling.py",
                "RUNNING or not task.job.is_restartable:\n",
                "RUNNING:\n",
            ),
        ),
    ),
    Case(
        "a workspace that floods a service delays only its own requests",
        "routing/queue.py",
        "return min(waiting, key=lambda name: self._flows[name].start)",
        "return waiting[0]",
        "tests/routing",
    ),
    Case(
        "a request that cannot meet its deadline is refused",
        "routing/router.py",
        "        if now + needed_s > request.deadline:\n",
        "        if False:\n",
        "tests/routing",
    ),
    Case(
        "a request needs a live lease",
        "routing/router.py",
        "        return now < self.lease_expiry\n",
        "        return True\n",
        "tests/leader",
    ),
    Case(
        "slots of a silent instance are held until its longest deadline",
        "leader/slots.py",
        "self._reclaim_times[holder] = now + self._max_in_flight_s",
        "self._reclaim_times[holder] = now",
        "tests/leader",
    ),
    Case(
        "a lease starts when the poll was sent",
        "routing/router.py",
        "reply.sent_at + reply.lease_s)",
        "reply.sent_at + 1.0 + reply.lease_s)",
        "tests/leader",
    ),
    Case(
        "the leader allows for clock drift",
        "leader/leases.py",
        "duration_s * (1 + 2 * CLOCK_DRIFT) + grace_s",
        "duration_s * 0.9 + grace_s",
        "tests/leader",
    ),
    Case(
        "a returning instance gets no slots while its old ones are reassigned",
        "leader/slots.py",
        "            not self.is_live(session.holder, now)\n"
        "            and self._pending_changes[session.holder]\n",
        "            False\n",
        "tests/leader",
    ),
    Case(
        "slots are released once",
        "leader/slots.py",
        "if held < confirmed and not self._pending_changes[session.holder]:",
        "if held < confirmed:",
        "tests/leader",
    ),
    Case(
        "a new leader treats all leases as just renewed",
        "leader/slots.py",
        "            self._instance_leases.renew(holder, now)\n        for",
        "            self._reclaim_times[holder] = now\n        for",
        "tests/leader",
    ),
    Case(
        "a leaving upstream gets no new requests",
        "routing/router.py",
        "if upstream.service == service and not upstream.leaving:",
        "if upstream.service == service:",
        "tests/leader tests/routing",
        extra_replacements=(
            (
                "routing/router.py",
                "            if is_gone or known.leaving:",
                "            if is_gone:",
            ),
        ),
    ),
    Case(
        "a slot is used once",
        "routing/router.py",
        "            if slots.idle > 0\n",
        "            if slots.idle > -1\n",
        "tests/leader",
    ),
    Case(
        "an idempotency key is claimed before the request is sent",
        "instance/proxy.py",
        "            if request.key:\n",
        "            if False:\n",
        "tests/integration -k slow_answer",
    ),
    Case(
        "a request that may have run is not sent again",
        "instance/proxy.py",
        "if result.outcome is RequestOutcome.UNKNOWN "
        "and not self._can_repeat(request):",
        "if False:",
        "tests/integration -k killed_upstream",
    ),
    Case(
        "an answer under another request's number is discarded",
        "instance/exchange.py",
        "if echoed_id is not None and echoed_id != self.request_id:",
        "if False:",
        "tests/integration -k broken_answers",
    ),
    Case(
        "a long answer that is truncated is truncated for the caller too",
        "instance/http.py",
        "if exchange.outcome is not RequestOutcome.DONE:",
        "if False:",
        "tests/integration -k long_answer",
    ),
    Case(
        "a run of unknown outcome is blocked before it counts as never started",
        "dispatch/missing_runs.py",
        "            if run.can_begin_later:\n",
        "            if run.phase is RunPhase.STARTING:\n",
        "tests/dispatch -k random",
    ),
    Case(
        "a called worker's lease is counted by the slowest clock",
        "dispatch/workers.py",
        "return max(earlier_lease_s, own_lease_s)",
        "return earlier_lease_s",
        "tests/dispatch -k random",
    ),
    Case(
        "a new leader waits for late calls to an earlier incarnation",
        "dispatch/registry.py",
        "            self._ended.setdefault(ended.worker, (ended.incarnation, now))\n",
        "            pass\n",
        "tests/dispatch/test_lease_ends.py",
    ),
    Case(
        "a run that can never be blocked ends with the lease",
        "dispatch/open_states.py",
        "    if _has_unblocked_run(worker, report, now):\n",
        "    if False:\n",
        "tests/dispatch/test_review_findings.py",
    ),
    Case(
        "a run that is listed as running and as ended ends with the lease",
        "dispatch/open_states.py",
        "not find_contradictory_runs(report).isdisjoint(worker.runs)\n",
        "False\n",
        "tests/dispatch/test_review_findings.py",
    ),
    Case(
        "a repeated poll does not wait",
        "dispatch/polls.py",
        "            and not worker.failures\n            and not any(\n",
        "            and not any(\n",
        "tests/dispatch/test_review_findings.py",
    ),
    Case(
        "a new leader waits for leases that an earlier leader requested",
        "dispatch/workers.py",
        "earlier_lease_s = times.max_lease_s - elapsed_s",
        "earlier_lease_s = -elapsed_s",
        "tests/dispatch -k random",
    ),
    Case(
        "a new leader takes over the runs of the store",
        "dispatch/registry.py",
        "            for key in self._context.store.runs.get(spec.key, ()):\n",
        "            for key in ():\n",
        "tests/dispatch -k random",
    ),
    Case(
        "a worker gets no runs before it has responded to this leader",
        "dispatch/workers.py",
        "            self.has_responded\n            and not",
        "            not",
        "tests/dispatch",
    ),
    Case(
        "a late response to a poll starts no second poll",
        "dispatch/polls.py",
        "        if event.is_late or sent_at is None or event.sent_at < sent_at:\n"
        "            return False\n",
        "",
        "tests/dispatch -k late_response_starts_no_second_poll",
    ),
    Case(
        "an end is acknowledged only after its commit",
        "dispatch/polls.py",
        "        if ends:\n            self._recorder.commit",
        "        acknowledge()\n        if ends:\n            self._recorder.commit",
        "tests/dispatch",
    ),
    Case(
        "a gang starts only as a whole",
        "workflow/store.py",
        "                and is_complete(self.workflows, group)\n",
        "",
        "tests/workflow",
    ),
    Case(
        "a draining worker gets no start",
        "workflow/store.py",
        "            and not worker.draining\n",
        "",
        "tests/workflow",
    ),
    Case(
        "a late heartbeat does not end a drain",
        "workflow/store.py",
        "            and known.draining\n        ):",
        "            and False\n        ):",
        "tests/workflow",
    ),
    Case(
        "a stopping leader proposes no commands",
        "instance/replica.py",
        "if not self._controller.active or self._stopping:",
        "if not self._controller.active:",
        "tests/instance -k nothing_is_proposed",
    ),
    Case(
        "many answers to old messages cause one resend",
        "consensus/replication.py",
        "elif not progress.is_already_resent(reply):",
        "else:",
        "tests/consensus -k resend",
    ),
    Case(
        "a replica sends the members' addresses to seeds outside the membership",
        "instance/membership.py",
        "            self._send_members_to_seeds()\n",
        "",
        "tests/integration/test_platform.py -k loss_of_all",
    ),
    Case(
        "a refusal after an attempt is not reported as `not-run`",
        "instance/proxy.py",
        "return unknown or RequestResult(",
        "return RequestResult(",
        "tests/integration -k leaves_the_outcome",
    ),
    Case(
        "a drain waits for the requests in flight",
        "instance/application.py",
        "while self._count_open_requests():",
        "while False:",
        "tests/integration -k drained_instances",
        extra_replacements=(
            (
                "instance/application.py",
                "while server.server_state.connections:",
                "while False:",
            ),
        ),
    ),
    Case(
        "a worker with an unanswered start gets none until it responds",
        "dispatch/workers.py",
        "            and not self.has_unanswered_start\n",
        "",
        "tests/dispatch -k gets_none_until_it_responds",
    ),
    Case(
        "a run of unknown state is probed before it is stopped",
        "dispatch/starts.py",
        "not never_ran:\n            self._prober.request(worker)\n",
        "not never_ran:\n            self._stopper.send_stop(worker, key)\n",
        "tests/dispatch -k reported_by_a_probe",
    ),
    Case(
        "an end is detected after the pending poll is lost",
        "dispatch/polls.py",
        "            if worker.has_overdue_run(now):",
        "            if False:",
        "tests/dispatch -k waiting_poll_is_lost",
    ),
    Case(
        "a submission that may have been accepted is not reported as refused",
        "instance/queues.py",
        "code = UNAVAILABLE if is_read else UNANSWERED",
        "code = UNAVAILABLE",
        "tests/instance -k reported_as_unanswered",
    ),
    Case(
        "a wiped instance's former replica is removed after its new one votes",
        "consensus/membership_planner.py",
        "    replacements = [*joining.values(), *reachable]\n",
        "    replacements = list(joining.values())\n",
        "tests/consensus -k replaces_its_former_replica",
        extra_replacements=(
            (
                "consensus/membership_planner.py",
                "    if candidates:\n",
                "    if False:\n",
            ),
        ),
    ),
    Case(
        "quota: a step without quota is not planned",
        "dispatch/planner.py",
        "            if not planning.quotas.allows(step):\n",
        "            if False:\n",
        "tests/dispatch/test_quotas.py",
    ),
    Case(
        "quota: a step starts only as many tasks as the quota allows",
        "dispatch/planner.py",
        "            if position >= allowed:\n",
        "            if False:\n",
        "tests/dispatch/test_quotas.py",
    ),
    Case(
        "quota: what a round has planned counts",
        "dispatch/planning_round.py",
        "        self.quotas.take(step)\n",
        "",
        "tests/dispatch/test_quotas.py",
    ),
    Case(
        "quota: suspects wait for it too",
        "dispatch/suspects.py",
        "            if not planning.quotas.allows(step):\n",
        "            if False:\n",
        "tests/dispatch/test_quotas.py",
    ),
    Case(
        "quota: the log takes no start beyond it",
        "workflow/store.py",
        "                and self._is_within_quota(group)\n",
        "",
        "tests/workflow/test_usage_stateful.py",
    ),
    Case(
        "quota: a workflow that can never fit is refused",
        "workflow/requests.py",
        'return refuse("malformed", excess) if excess else spec',
        "return spec",
        "tests/dispatch/test_quotas.py",
    ),
    Case(
        "backfill tasks take up memory and accelerators",
        "workflow/specs.py",
        "return Resources(0, self.need.memory_mb, self.need.accelerators)",
        "return Resources()",
        "tests/dispatch/test_backfill.py",
    ),
    Case(
        "backfill tasks do not wait for processor time",
        "workflow/specs.py",
        "        if not self.backfill:\n            return self.need\n",
        "        return self.need\n",
        "tests/dispatch/test_backfill.py",
    ),
    Case(
        "quota: backfill takes up no processor time",
        "workflow/usage.py",
        "total.used = total.used + step.allocation",
        "total.used = total.used + step.need",
        "tests/workflow/test_usage_stateful.py",
    ),
    Case(
        "quota: the memory of backfill tasks is limited",
        "workflow/quotas.py",
        "used, workspace.quota, step.allocation, step.count",
        "used, workspace.quota, Resources(), step.count",
        "tests/workflow/test_usage_stateful.py",
    ),
    Case(
        "quota: the usage is counted again from a snapshot",
        "workflow/store.py",
        "        store.usage = WorkspaceUsage(snapshot.workflows)\n",
        "",
        "tests/workflow/test_usage_stateful.py",
    ),
    Case(
        "quota: steps beyond a fair share come last",
        "dispatch/fair_order.py",
        "        return within + above + far_above\n",
        "        return waiting\n",
        "tests/dispatch/test_fair_order.py",
    ),
    Case(
        "quota: running tasks count for the fair share",
        "dispatch/fair_order.py",
        "            share = used.get(name, 0.0)\n",
        "            share = 0.0\n",
        "tests/dispatch/test_fair_order.py -k running",
    ),
    Case(
        "quota: shares weigh the order",
        "cell/sharing.py",
        "            weight = max(weights[name], MIN_WEIGHT)\n",
        "            weight = 1.0\n",
        "tests/cell/test_sharing.py",
    ),
    Case(
        "quota: the planner counts the runs of earlier leaders",
        "dispatch/quotas.py",
        "else self._store.usage.get_used(workspace)",
        "else Resources()",
        "tests/dispatch/test_quota_faults.py -k new_leader",
    ),
    Case(
        "quota: a full quota is logged once an interval",
        "dispatch/quota_reports.py",
        "            self._logged_at[name] = now\n",
        "",
        "tests/dispatch/test_quota_faults.py -k logged",
    ),
    Case(
        "quota: the number of labels is bounded",
        "metrics.py",
        "        if workspace not in self._refused_names:\n",
        "        if False:\n",
        "tests/dispatch/test_quota_faults.py -k metrics",
    ),
    Case(
        "quota: explain names the wait for it",
        "explanation.py",
        "        and after.message == _RUN_STARTED\n",
        "        and False\n",
        "tests/test_explanation.py -k quota",
    ),
    Case(
        "quota: workspaces a little above their share come before a hot one",
        "dispatch/fair_order.py",
        "(fair, FAR_ABOVE * fair)",
        "(fair, fair)",
        "tests/dispatch/test_hot_workspace.py",
    ),
    Case(
        "quota: a gang keeps quota from the tasks behind it",
        "dispatch/planner.py",
        "                planning.quotas.keep(step, is_overdue=is_overdue)\n",
        "",
        "tests/dispatch/test_quotas.py",
    ),
    Case(
        "quota: a gang keeps no quota from tasks while half of it is free",
        "dispatch/quotas.py",
        "max(bound - kept, (bound - 1) // 2 + needed, 1)",
        "max(bound - kept, 1)",
        "tests/dispatch/test_quotas.py",
    ),
    Case(
        "quota: a gang that never fits keeps none",
        "dispatch/quotas.py",
        "        if has_quota_for(workspace, lasting, step.spec):\n",
        "        if True:\n",
        "tests/dispatch/test_quotas.py",
    ),
    Case(
        "quota: a gang without quota beside services keeps none",
        "dispatch/quotas.py",
        "        if has_quota_for(workspace, lasting, step.spec):\n",
        "        if has_quota_for(workspace, Resources(), step.spec):\n",
        "tests/dispatch/test_reservations.py",
    ),
    Case(
        "a gang without room beside services reserves no workers",
        "dispatch/reservations.py",
        "planning.find_candidate(worker), planning.find_usable(worker)\n",
        "planning.find_candidate(worker), worker.spec.capacity\n",
        "tests/dispatch/test_reservations.py",
    ),
    Case(
        "a run that lasts prolongs no quarantine",
        "dispatch/workers.py",
        "            and not (self.quarantines and self._has_trial_run(now))\n",
        "            and not (self.quarantines and self.runs)\n",
        "tests/dispatch/test_quarantine.py",
    ),
    Case(
        "a worker gets one trial at a time after a quarantine",
        "dispatch/workers.py",
        "            and not (self.quarantines and self._has_trial_run(now))\n",
        "",
        "tests/dispatch/test_quarantine.py",
    ),
    Case(
        "suspects of a full pool hold back no others",
        "dispatch/suspects.py",
        "if pool in isolation.full_pools or seen",
        "if isolation.full_pools or seen",
        "tests/dispatch/test_suspects.py tests/dispatch/test_suspects_of_pools.py",
    ),
    Case(
        "quota: a wide step is divided at the fair share",
        "dispatch/fair_order.py",
        "        if is_whole or share + size <= bound:\n",
        "        if True:\n",
        "tests/dispatch/test_fair_order.py",
    ),
    Case(
        "quota: a divided step that has started does not count as waiting",
        "dispatch/planner.py",
        "        planning.drop_reasons_of_started_steps()\n",
        "",
        "tests/dispatch/test_fair_order.py",
    ),
]


def run_case(case: Case) -> bool:
    """Return whether the tests of a case fail on a copy without its safety check."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        ignored = shutil.ignore_patterns(
            ".venv", ".git", "__pycache__", "dist", "target", "journal"
        )
        shutil.copytree(ROOT, copy, ignore=ignored)
        for file, old, new in (
            (case.file, case.old, case.new),
            *case.extra_replacements,
        ):
            path = copy / PACKAGE / file
            text = path.read_text()
            if text.count(old) != 1:
                print(f"STALE  {case.name}: found {text.count(old)} times")
                return False
            path.write_text(text.replace(old, new))
        environment = {**os.environ, "PYTHONPATH": f"{copy}/src:{copy}"}
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "-q", *case.test.split()],
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    failed = done.returncode == 1
    line = next((x for x in done.stdout.splitlines() if x.startswith("E  ")), "")
    print(f"{'caught' if failed else 'MISSED'}  {case.name}: {line.strip()[:100]}")
    return failed


def main() -> None:
    """Run the cases whose name or tests contain the argument."""
    parser = argparse.ArgumentParser()
    parser.add_argument("words", nargs="?", default="")
    parser.add_argument("--jobs", type=int, default=6)
    options = parser.parse_args()
    cases = [case for case in CASES if options.words in f"{case.name} {case.test}"]
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(run_case, cases))
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    sys.exit(not all(results))


if __name__ == "__main__":
    main()
