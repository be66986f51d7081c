"""A few timed jobs, due since yesterday, leave the core without a leader for good."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import scenario

#: Timed jobs that the stranger hands in: each second since yesterday, 10,000 times.
JOBS = 4
REPEATS = 10_000
INTERVAL_MS = 1_000
AGE_S = 24 * 3600


def make_timed_job():
    return {
        "TaskSpec": "(timed)",
        "Steps": [{"Count": 10, "Cpu": 500, "MemMb": 128, "EstimateMs": 300}],
        "RepeatCount": REPEATS,
        "StartAtMs": int((time.time() - AGE_S) * 1000),
        "IntervalMs": INTERVAL_MS,
    }


async def play(item):
    item.begin_traffic()
    await asyncio.sleep(8)
    begun = item.record.now()
    if item.with_trouble:
        for number in range(JOBS):
            job = f"{0x0BAD000000000001 + number:016x}"
            value = make_timed_job()
            await item.submit(4, job, value, label="stranger", is_ordinary=False)
    before = item.count_answers(0, begun)
    await asyncio.sleep(30)
    after = item.count_answers(begun + 5, item.record.now())
    states = await item.finish()
    silent = {job: x for job, x in states.items() if x.startswith("no answer")}
    undone = {job: x for job, x in states.items() if x != "completed"}
    item.record.write(
        f"calls of ordinary clients answered with 200: {before[1]} of {before[0]} before, "
        f"{after[1]} of {after[0]} from 5 s after the first of these jobs on; accepted "
        f"jobs: {len(states)}, not completed: {len(undone)}, without an answer: "
        f"{len(silent)}; processes that ended by themselves: {len(item.exits)}"
    )
    faults = []
    if silent:
        faults.append(
            f"LOST: {len(silent)} of {len(states)} accepted jobs get no answer within "
            f"{scenario.ANSWER_S:g} s, {scenario.FINISH_S:g} s after the traffic"
        )
    if item.exits:
        faults.append(f"Fault: processes ended by themselves {len(item.exits)} times")
    return faults


scenario.run(FOLDER, play)
