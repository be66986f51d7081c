"""A burst of jobs that fill: their memory is counted on no runner."""

import asyncio

from cell import Cell, Client, check_twice, main, make_config
from standins import Advisor, Fleet, Runner

RUNNERS = 8
CPU, MEM_MB = 16000, 65536

#: A job of the sheet's kind `cost-rebuild`: 4.5 cores, 13,000 MB, 6.2 s a task.
STEP = {"Count": 2, "Cpu": 4500, "MemMb": 13000, "EstimateMs": 6200, "FillCount": True}
WORK_S = 6.2

#: The usual traffic is a job every 4 s, so that two jobs overlap at most. The burst
#: multiplies it by 2 for 4 s.
USUAL_GAP_S, BURST_GAP_S, BURST_S = 4.0, 2.0, 4.0
LENGTH_S = 12.0


async def scenario(record, trouble, holder):
    fleet = Fleet(record)
    fleet.work = lambda task, run: WORK_S
    advisor = Advisor()
    await advisor.listen()
    cell = holder["cell"] = Cell(record, advisor)
    await cell.start(make_config())
    for number in range(RUNNERS):
        await Runner(fleet, f"i-{number}", cell.controls, cpu=CPU, mem=MEM_MB).start()
    await asyncio.sleep(2.0)
    client = Client(cell, fleet, record)
    begun = record.now()
    burst_from = begun + USUAL_GAP_S
    number = 0
    while record.now() < begun + LENGTH_S:
        number += 1
        job = f"5c0e7a21d94b36{number:02x}"
        await client.submit(job, {"TaskSpec": "(text)", "Steps": [STEP]})
        in_burst = trouble and burst_from <= record.now() < burst_from + BURST_S
        await asyncio.sleep(BURST_GAP_S if in_burst else USUAL_GAP_S)
    await asyncio.sleep(WORK_S + 1)
    return find_breaks(fleet, record) + check_twice(fleet)


def find_breaks(fleet, record):
    """Return the starts that bring a runner over its memory."""
    breaks, used = [], {}
    for moment, kind, task, run, runner in fleet.events:
        need = fleet.step_of(task)["MemMb"]
        if kind != "start":
            used[runner] -= need
            continue
        used[runner] = used.get(runner, 0) + need
        record.add("memory", runner, used[runner], "of", MEM_MB)
        if used[runner] > MEM_MB:
            idle = sum(not used.get(name, 0) for name in fleet.runners)
            breaks.append(
                f"LIMIT: the start of {task} run {run} at {moment:.3f} brings {runner} to "
                f"{used[runner]} MB of {MEM_MB} MB, while {idle} runners are empty"
            )
    return breaks


if __name__ == "__main__":
    main(scenario)
