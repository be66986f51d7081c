"""What the scripts share: ordinary clients, the platform's restarts, the verdict."""

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path

from deployment import Deployment, Record, make_configuration
from runner import Runner

HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Time after the end of the traffic at which the jobs are asked for (`finish_s`), and
#: the time in which each has to be answered, at whichever node.
FINISH_S = 14.0
ANSWER_S = 6.0

#: Time after which the platform starts a process again that has ended.
RESTART_S = 1.0

#: Time that a script may take.
LIMIT_S = 115.0

ORDINARY_JOB = {
    "TaskSpec": "(ordinary)",
    "Steps": [{"Count": 1, "Cpu": 500, "MemMb": 128, "EstimateMs": 300}],
}


class Scenario:
    """A deployment with runners and ordinary clients.

    Attributes:
        accepted: Ids of the ordinary jobs that were acknowledged, with the time.
        answers: Time, status and duration of each call of an ordinary client.
        exits: Number of each instance whose process has ended by itself, and the time.
    """

    def __init__(self, folder, *, with_trouble, others=1, runners=4, run_s=0.3,
                 make_run=None, **options):
        self.with_trouble = with_trouble
        self.record = Record(Path(folder) / "record.txt")
        self.deployment = Deployment(self.record, others=others, **options)
        self._runner_count = runners
        self._run_s = run_s
        self._make_run = make_run
        self.runners = []
        self.accepted = {}
        self.answers = []
        self.exits = []
        self._down = set()
        self._traffic = []
        self._supervisor = None
        self._next_job = 0

    async def start(self):
        deployment = self.deployment
        await deployment.start_all()
        self._supervisor = asyncio.create_task(self._supervise())
        for number in range(self._runner_count):
            await self.add_runner(f"i-{number:04x}")
        await deployment.configure(make_configuration(7))
        await asyncio.sleep(3)
        self.record.write("traffic begins")

    async def add_runner(self, name, **options):
        runner = Runner(
            self.record,
            name,
            self.deployment.control_addresses(),
            **{
                "run_s": lambda task, spec: self._run_s,
                "make_run": self._make_run,
                **options,
            },
        )
        await runner.start()
        self.runners.append(runner)
        return runner

    # The platform.

    def stop_supervising(self, number):
        """Do not count or restart a process that the script itself ends."""
        self._down.add(number)

    async def _supervise(self):
        """Restart processes that have ended by themselves, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            for number in self.deployment.list_ended():
                if number in self._down:
                    continue
                code = self.deployment.instances[number].process.returncode
                self.exits.append((number, self.record.now()))
                self.record.write(
                    f"instance {number} has ended by itself, exit code {code}"
                )
                self._down.add(number)
                asyncio.get_running_loop().create_task(self._restart(number))

    async def _restart(self, number):
        await asyncio.sleep(RESTART_S)
        await self.deployment.start(number, bootstrap=False)
        self._down.discard(number)

    # Ordinary clients.

    def begin_traffic(self, clients=3, pause_s=0.3):
        for number in range(clients):
            self._traffic.append(
                asyncio.create_task(self._run_client(number, pause_s))
            )

    async def end_traffic(self):
        for task in self._traffic:
            task.cancel()
        await asyncio.gather(*self._traffic, return_exceptions=True)
        self.record.write("traffic ends")

    async def _run_client(self, client, pause_s):
        """Hand jobs in, each with up to four retries at other nodes."""
        numbers = self.deployment.numbers
        while True:
            self._next_job += 1
            job = f"{0x0D00000000000000 + self._next_job:016x}"
            for attempt in range(5):
                number = numbers[(self._next_job + attempt) % len(numbers)]
                status = await self.submit(number, job, ORDINARY_JOB)
                if status == 200:
                    self.accepted[job] = self.record.now()
                if status == 200 or 400 <= status < 500:
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(pause_s)

    async def submit(self, number, job, value, *, label="client", is_ordinary=True):
        sent_at = time.monotonic()
        status, _ = await self.deployment.call_queue(number, "POST", job, value)
        took_s = time.monotonic() - sent_at
        if is_ordinary:
            self.answers.append((self.record.now(), status, took_s))
        self.record.write(
            f"{label}: POST {job} at {number} -> {status or 'no answer'} in {took_s:.3f} s"
        )
        return status

    def count_answers(self, since, until):
        """Return how many calls ended between two times, and how many got 200."""
        found = [status for at, status, _ in self.answers if since <= at < until]
        return len(found), sum(status == 200 for status in found)

    async def ask_for_jobs(self, jobs=None):
        """Ask for each accepted job; return its state, or what came in its place."""
        jobs = list(self.accepted if jobs is None else jobs)
        states = await asyncio.gather(*(self._ask(x, i) for i, x in enumerate(jobs)))
        found = dict(zip(jobs, states, strict=True))
        for job, state in found.items():
            self.record.write(f"client: GET {job} -> {state}")
        return found

    async def _ask(self, job, position):
        numbers = self.deployment.numbers
        deadline = time.monotonic() + ANSWER_S
        answer = "no answer"
        await asyncio.sleep(position % 50 * 0.02)
        while time.monotonic() < deadline:
            position += 1
            number = numbers[position % len(numbers)]
            status, value = await self.deployment.call_queue(
                number, "GET", job, wait_s=min(3.0, ANSWER_S)
            )
            if status == 200:
                return value["State"]
            if status == 410:
                return "410"
            answer = f"no answer but {status}" if status else "no answer"
            await asyncio.sleep(0.3)
        return answer

    async def finish(self):
        """Wait for `finish_s` after the traffic, then ask for the ordinary jobs."""
        await self.end_traffic()
        await asyncio.sleep(FINISH_S)
        return await self.ask_for_jobs()

    async def close(self):
        for task in (*self._traffic, self._supervisor):
            if task is not None:
                task.cancel()
        await self.deployment.close()
        for runner in self.runners:
            await runner.close()


def run(folder, play, **options):
    """Play a case and end the process with its verdict.

    Args:
        folder: Folder of the case.
        play: Coroutine function of a scenario, which returns the broken rules.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        scenario = Scenario(folder, with_trouble=with_trouble, **options)
        try:
            async with asyncio.timeout(LIMIT_S):
                await scenario.start()
                faults = await play(scenario)
        except Exception:
            scenario.record.write("could not run:\n" + traceback.format_exc())
            return NOT_RUN
        finally:
            await scenario.close()
        for fault in faults:
            scenario.record.write(f"BROKEN {fault}")
        scenario.record.write("verdict: " + ("broken" if faults else "held"))
        print("\n".join(faults) or "held")
        return BROKEN if faults else HELD

    sys.exit(asyncio.run(main()))
