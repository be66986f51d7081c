"""Shows that each proof fails without the protection that it proves.

Each case removes one protection from a copy of the tree and runs the test that has
to notice. Run it with `make unprotected`; a case passes if its test fails.
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
    """One protection, how to remove it, and the test that has to fail.

    Attributes:
        also: Further replacements, where two places protect the same point.
    """

    name: str
    file: str
    old: str
    new: str
    test: str
    also: tuple[tuple[str, str, str], ...] = ()


CASES = [
    Case(
        "voters stay loyal to a leader heard lately",
        "consensus/core.py",
        "if self._is_loyal(now) and not request.transfer:",
        "if False:",
        "tests/consensus",
    ),
    Case(
        "a restarted voter waits before it votes",
        "consensus/core.py",
        "        self._leader_heard_at = now\n        self._transfer_to",
        "        self._leader_heard_at = -1e9\n        self._transfer_to",
        "tests/consensus",
    ),
    Case(
        "an entry of an earlier term is not counted as committed",
        "consensus/core.py",
        "if index > self.commit and self.log.find_term(index) == self.term:",
        "if index > self.commit:",
        "tests/consensus",
    ),
    Case(
        "a vote is synced before it is sent",
        "consensus/core.py",
        "                self._set_term(self.term, source)\n",
        "                self.voted_for = source\n",
        "tests/consensus",
    ),
    Case(
        "a vote goes only to an up-to-date log",
        "consensus/core.py",
        "granted = up_to_date and request.term == self.term and free_to_vote",
        "granted = request.term == self.term and free_to_vote",
        "tests/consensus",
    ),
    Case(
        "a leader hands over only without its lease",
        "consensus/core.py",
        "        if self._transfer_to:\n            return False\n        return now <",
        "        return now <",
        "tests/consensus",
    ),
    Case(
        "one membership change at a time",
        "consensus/core.py",
        "            and self.commit >= self._memberships.index\n",
        "",
        "tests/consensus",
    ),
    Case(
        "a pre-vote comes before a new term",
        "consensus/core.py",
        "self._campaign(now, pre=True)",
        "self._campaign(now, pre=False)",
        "tests/consensus",
    ),
    Case(
        "a frame's checksum is compared",
        "consensus/frames.py",
        "if len(body) < length or zlib.crc32(body) != body_crc:",
        "if len(body) < length:",
        "tests/consensus/test_storage.py",
    ),
    Case(
        "only a torn tail is cut",
        "consensus/storage.py",
        "if body is None and last and is_torn(data, offset):",
        "if body is None:",
        "tests/consensus/test_storage.py",
    ),
    Case(
        "a failed sync is final",
        "consensus/storage.py",
        "            self._failed = True\n            raise DiskError(Path(self._file",
        "            raise DiskError(Path(self._file",
        "tests/consensus/test_storage.py",
    ),
    Case(
        "a voter leaves only after its replacement votes",
        "consensus/repair.py",
        "if len(members.voters) > options.target_voters:",
        "if dead or len(members.voters) > options.target_voters:",
        "tests/consensus/test_repair.py",
    ),
    Case(
        "a learner votes only after it has caught up",
        "consensus/repair.py",
        "if now - progress.heard_at > PRESENT_S or not progress.match:",
        "if False:",
        "tests/consensus/test_repair.py",
    ),
    Case(
        "a new learner gets time to answer",
        "consensus/followers.py",
        "return max(self.heard_at, self.tracked_at)",
        "return self.heard_at",
        "tests/consensus/test_repair.py",
    ),
    Case(
        "a worker is never overcommitted",
        "cell/jobbook.py",
        "return worker.can_hold(need) and workspace.allows(need)",
        "return workspace.allows(need)",
        "tests/cell",
    ),
    Case(
        "a report counts for its own epoch only",
        "cell/jobbook.py",
        "if task is None or task.epoch != item.epoch:",
        "if task is None:",
        "tests/cell",
    ),
    Case(
        "a report counts for its own session only",
        "cell/jobbook.py",
        "if worker.name != worker_name or worker.session != session:",
        "if worker.name != worker_name:",
        "tests/cell",
    ),
    Case(
        "a task of unknown fate that must run once is not run again",
        "cell/jobbook.py",
        "        elif job.is_restartable:\n            self._requeue(task, now)\n"
        "            if job.is_gang",
        "        elif True:\n            self._requeue(task, now)\n"
        "            if job.is_gang",
        "tests/cell",
    ),
    Case(
        "a gang starts whole",
        "cell/jobbook.py",
        "if gang and len(done) < len(group):",
        "if False:",
        "tests/cell",
    ),
    Case(
        "a cancelled task keeps its room until it has stopped",
        "cell/jobbook.py",
        "            self._order_stop(task, TaskState.CANCELLING, now)\n",
        "            self._release(task)\n"
        "            self._finish(task, TaskState.CANCELLED, now)\n",
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
        "        if faults:\n",
        "        if len(faults) > 9:\n",
        "tests/cell/test_tickets.py",
    ),
    Case(
        "a key is claimed once",
        "cell/requests.py",
        "        if known is not None:\n"
        "            return self._answer_known(known, command)\n",
        "",
        "tests/cell/test_requests.py",
    ),
    Case(
        "an earlier session of a worker never comes back",
        "cell/jobbook.py",
        "if known is not None and command.session in known.past_sessions:",
        "if False:",
        "tests/cell",
    ),
    Case(
        "tasks move only after the worker's lease and its time to kill",
        "leader/workers.py",
        "length_s=options.worker_lease_s, grace_s=options.worker_grace_s",
        "length_s=options.worker_lease_s, grace_s=-options.worker_grace_s",
        "tests/leader/test_workers.py",
    ),
    Case(
        "a new leader waits for the leases of workers",
        "leader/workers.py",
        "self._leases.renew(worker.name, now)\n\n    def forget",
        "self._leases.renew(worker.name, now - 6)\n\n    def forget",
        "tests/leader/test_workers.py",
    ),
    Case(
        "a crossed heartbeat says nothing of the present",
        "leader/workers.py",
        "heartbeat.sequence < sequence:",
        "heartbeat.sequence < -1:",
        "tests/leader",
    ),
    Case(
        "a member that ends while its gang restarts runs again",
        "cell/jobbook.py",
        "if job.is_gang and task.state is TaskState.STOPPING:",
        "if False:",
        "tests/cell",
    ),
    Case(
        "a worker that turns out too small is relieved",
        "placement/engine.py",
        "        self._relieve(now, result)\n",
        "",
        "tests/placement",
    ),
    Case(
        "urgent work stops others for its room",
        "placement/engine.py",
        "                    self._preempt_for(book, job, now, result)\n",
        "",
        "tests/placement",
    ),
    Case(
        "room is reserved for what would starve",
        "placement/engine.py",
        "        self._reservations.consider(book, job, now)\n",
        "",
        "tests/placement",
    ),
    Case(
        "room is given back",
        "placement/engine.py",
        "victims = self._preemption.plan_give_back(book, job, now)",
        "victims = []",
        "tests/placement",
    ),
    Case(
        "what must run once is not stopped for others",
        "placement/preemption.py",
        "            and task.job.is_restartable\n",
        "",
        "tests/placement",
        also=(
            (
                "cell/jobbook.py",
                "RUNNING or not task.job.is_restartable:\n",
                "RUNNING:\n",
            ),
        ),
    ),
    Case(
        "a flooding workspace delays only itself",
        "routing/queue.py",
        "return min(waiting, key=lambda name: self._flows[name].start)",
        "return waiting[0]",
        "tests/routing",
    ),
    Case(
        "a request that cannot be in time is refused",
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
        "slots of a silent instance wait for its longest deadline",
        "leader/slots.py",
        "self._reclaims[holder] = now + self._longest_in_hand_s",
        "self._reclaims[holder] = now",
        "tests/leader",
    ),
    Case(
        "a lease counts from the time of the poll",
        "routing/router.py",
        "reply.sent_at + reply.lease_s)",
        "reply.sent_at + 1.0 + reply.lease_s)",
        "tests/leader",
    ),
    Case(
        "the leader allows for clocks of different speed",
        "leader/leases.py",
        "length_s * (1 + 2 * CLOCK_DRIFT) + grace_s",
        "length_s * 0.9 + grace_s",
        "tests/leader",
    ),
    Case(
        "a returning instance waits while its slots move",
        "leader/slots.py",
        "if not self.is_live(session.holder, now) and self._moving[session.holder]:",
        "if False:",
        "tests/leader",
    ),
    Case(
        "slots are given back once",
        "leader/slots.py",
        "if held < settled and not self._moving[session.holder]:",
        "if held < settled:",
        "tests/leader",
    ),
    Case(
        "a new leader counts all leases as renewed",
        "leader/slots.py",
        "            self._instance_leases.renew(holder, now)\n        for",
        "            self._reclaims[holder] = now\n        for",
        "tests/leader",
    ),
    Case(
        "a leaving upstream gets no new work",
        "routing/router.py",
        "if upstream.service == service and not upstream.leaving:",
        "if upstream.service == service:",
        "tests/leader tests/routing",
        also=(
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
        "a long answer that breaks off is cut for the caller too",
        "instance/http.py",
        "if exchange.outcome is not RequestOutcome.DONE:",
        "if False:",
        "tests/integration -k long_answer",
    ),
    Case(
        "a run of unknown fate is barred before it counts as never started",
        "dispatch/holds.py",
        "if run.phase is RunPhase.BARRED:",
        "if run.phase is not RunPhase.CALLING:",
        "tests/dispatch -k random",
    ),
    Case(
        "a called worker's lease is counted by the slowest clock",
        "dispatch/members.py",
        "return slowest > self.promised_ms",
        "return True",
        "tests/dispatch -k random",
    ),
    Case(
        "a new leader waits for the lease that an earlier one asked for",
        "dispatch/members.py",
        "if since_found <= times.longest_s:",
        "if False:",
        "tests/dispatch -k random",
    ),
    Case(
        "a new leader takes over the runs of the book",
        "dispatch/roster.py",
        "member.add_run(key, self._context.find_need(key), RunPhase.UNSURE, now)",
        "pass",
        "tests/dispatch -k random",
    ),
    Case(
        "a worker gets nothing before it has answered this leader",
        "dispatch/members.py",
        "            self.is_held\n            and not",
        "            not",
        "tests/dispatch",
    ),
    Case(
        "an end is acknowledged after its commit",
        "dispatch/holds.py",
        "        if ends:\n            self._records.commit",
        "        acknowledge()\n        if ends:\n            self._records.commit",
        "tests/dispatch",
    ),
    Case(
        "a gang starts whole",
        "workflow/book.py",
        "valid = all(map(self._can_assign, group)) and self._is_whole(group)",
        "valid = all(map(self._can_assign, group))",
        "tests/workflow",
    ),
    Case(
        "a draining worker gets no start",
        "workflow/book.py",
        "            and not worker.draining\n",
        "",
        "tests/workflow",
    ),
    Case(
        "a late heartbeat does not end draining",
        "workflow/book.py",
        "known.born == spec.born and known.draining:",
        "False:",
        "tests/workflow",
    ),
    Case(
        "a stopping leader proposes nothing more",
        "instance/replica.py",
        "if not self._director.active or self._stopping:",
        "if not self._director.active:",
        "tests/instance -k nothing_is_proposed",
    ),
    Case(
        "many answers to old messages cause one resend",
        "consensus/followers.py",
        "elif not progress.is_resent(reply):",
        "else:",
        "tests/consensus -k resend",
    ),
    Case(
        "a replica tells seeds outside the membership where the members are",
        "instance/joining.py",
        "            self._tell_seeds()\n",
        "",
        "tests/integration/test_platform.py -k loss_of_all",
    ),
    Case(
        "a refusal after an attempt is no `not run`",
        "instance/proxy.py",
        "return unknown or RequestResult(",
        "return RequestResult(",
        "tests/integration -k leaves_the_outcome",
    ),
    Case(
        "a drain waits for the requests in hand",
        "instance/application.py",
        "while self._count_open():",
        "while False:",
        "tests/integration -k drained_instances",
        also=(
            (
                "instance/application.py",
                "while server.server_state.connections:",
                "while False:",
            ),
        ),
    ),
    Case(
        "a worker that left a start unanswered gets none until it answers",
        "dispatch/members.py",
        "            and not self.is_doubted\n",
        "",
        "tests/dispatch -k gets_none_until_it_answers",
    ),
    Case(
        "a run in doubt is looked for before it is stopped",
        "dispatch/starts.py",
        "            self._looks.request(member)\n",
        "            self._stops.send_stop(member, key)\n",
        "tests/dispatch -k look_shows",
    ),
    Case(
        "an end is found though the hold that waits for it is lost",
        "dispatch/holds.py",
        "            if member.is_overdue(now):",
        "            if False:",
        "tests/dispatch -k hold_that_waits_for_it_is_lost",
    ),
    Case(
        "a submission that may have been taken is not called refused",
        "instance/queues.py",
        "code = UNAVAILABLE if is_read else UNANSWERED",
        "code = UNAVAILABLE",
        "tests/instance -k may_have_been_carried_out",
    ),
    Case(
        "a wiped instance's old self is known also once its new self votes",
        "consensus/repair.py",
        "    others = [*candidates.values(), *present]\n",
        "    others = list(candidates.values())\n",
        "tests/consensus -k replaces_its_old_self",
        also=(
            (
                "consensus/repair.py",
                "    if silent:\n",
                "    if False:\n",
            ),
        ),
    ),
]


def run_case(case: Case) -> bool:
    """Return whether the case's test fails on the unprotected copy."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        ignored = shutil.ignore_patterns(
            ".venv", ".git", "__pycache__", "dist", "target", "journal"
        )
        shutil.copytree(ROOT, copy, ignore=ignored)
        for file, old, new in ((case.file, case.old, case.new), *case.also):
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
    """Run the cases whose name or test contains the argument."""
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
