"""Each job with a tiny `EstimateMs` ends the process that leads when it is done."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import scenario

#: A valid number of JSON that is above 0: a client has divided too often.
TINY_MS = 1e-322

TINY_JOB = {
    "TaskSpec": "(tiny)",
    "Steps": [{"Count": 1, "Cpu": 500, "MemMb": 128, "EstimateMs": TINY_MS}],
}

#: Number of such jobs, and the time between two of them, in seconds.
JOBS = 15
PAUSE_S = 2.0


async def play(item):
    item.begin_traffic()
    await asyncio.sleep(8)
    begun = item.record.now()
    for number in range(JOBS):
        if item.with_trouble:
            job = f"{0x0BAD000000000001 + number:016x}"
            await item.submit(4, job, TINY_JOB, label="stranger", is_ordinary=False)
        await asyncio.sleep(PAUSE_S)
    sent, served = item.count_answers(begun + 2, item.record.now())
    states = await item.finish()
    lost = {job: state for job, state in states.items() if state != "completed"}
    item.record.write(
        f"ended by themselves: {len(item.exits)} times, instances "
        f"{[x for x, _ in item.exits]}; calls of ordinary clients after the job: "
        f"{sent}, of these answered with 200: {served}; accepted jobs: {len(states)}, "
        f"not completed or without an answer: {len(lost)}"
    )
    faults = []
    if item.exits:
        faults.append(f"Fault: processes ended by themselves {len(item.exits)} times")
    if lost:
        faults.append(
            f"LOST: {len(lost)} of {len(states)} accepted jobs are not known to be "
            f"completed {scenario.FINISH_S:g} s after the traffic: {sorted(set(lost.values()))}"
        )
    return faults


scenario.run(FOLDER, play)
