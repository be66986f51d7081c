"""A core machine that lost its disk never gets back in; the next loss ends the cell."""

import asyncio
import shutil

from cell import CannotRunError, Cell, Client, check_twice, main, make_config
from standins import Advisor, Fleet, Runner, call

CORE = (1, 2, 3)
WITHOUT_DISK = (4, 5)
WIPED_S = 3.0
CATCH_UP_S = 4.0
MARGIN_S = 4.0

#: The operator reads back for this time; the pages allow `RecoveryS` = 12 s.
READ_BACK_S = 25.0


async def scenario(record, trouble, holder):
    fleet = Fleet(record)
    advisor = Advisor()
    await advisor.listen()
    cell = holder["cell"] = Cell(record, advisor, disks=3, plain=2)
    await cell.start(make_config(7))
    for number in range(6):
        await Runner(fleet, f"i-{number}", cell.controls).start()
    await asyncio.sleep(3.0)
    client = Client(cell, fleet, record)
    jobs = [f"5c0e7a21d94b36{number:02x}" for number in range(5)]
    for job in jobs:
        steps = [{"Count": 2, "Cpu": 1400, "MemMb": 2900, "EstimateMs": 640}]
        await client.submit(job, {"TaskSpec": "(text)", "Steps": steps})
    leader = cell.find_leader()
    wiped, other = (number for number in CORE if number != leader)
    record.add("leader", leader, "loses its disk:", wiped, "last:", other)
    if trouble:
        # The operator's list has other machines first; all of these serve control.
        cell.seeds = (other, *WITHOUT_DISK)
        record.add("seeds", "of the files written from now on:", cell.seeds)
    await acknowledge(cell, 10, wiped)
    if trouble:
        await lose_disk(cell, wiped)
        await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    await acknowledge(cell, 13, other)
    if trouble:
        record.add("final fault")
        await lose_disk(cell, other)
    breaks = await read_back(cell, client, record, 13, jobs)
    return breaks + check_twice(fleet)


async def acknowledge(cell, version, number):
    """Change the configuration at one machine until it is acknowledged."""
    for _ in range(20):
        status, _ = await cell.put_config(make_config(version), number)
        if status == 200:
            return
        await asyncio.sleep(0.3)
    raise CannotRunError(f"version {version} is not acknowledged")


async def lose_disk(cell, number):
    """A machine loses its disk right after it has acknowledged something."""
    await cell.kill(number)
    shutil.rmtree(cell.folder / f"data-{number}")
    await asyncio.sleep(WIPED_S)
    cell.spawn(number)


async def read_back(cell, client, record, version, jobs):
    """Return the breaks that the operator and the clients see at the end."""
    until = record.now() + READ_BACK_S
    answers, found = set(), None
    while record.now() < until and found is None:
        for number in range(1, cell.count + 1):
            status, value = await call(
                cell.control_of(number), "GET", "/-/config", timeout=1.0
            )
            record.add("read back", "at", number, "->", status)
            answers.add(status)
            if status == 200:
                found = value["Version"]
                break
        await asyncio.sleep(0.3)
    breaks = []
    if found is None:
        breaks.append(
            f"LOST: no machine answers a read of the configuration for {READ_BACK_S} s "
            f"after the final fault (only {sorted(answers)}); version {version} was "
            f"acknowledged"
        )
    elif found < version:
        breaks.append(f"LOST: version {found} is read back, {version} was acknowledged")
    for job in jobs:
        state = await client.state(job)
        if state in ("unknown", "no answer"):
            breaks.append(f"LOST: the accepted job {job}: {state}")
            break
    return breaks


if __name__ == "__main__":
    main(scenario)
