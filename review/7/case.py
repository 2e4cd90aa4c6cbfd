"""The owner is killed after half a day of jobs that are long over."""

import asyncio
import base64
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lab-2"))
import lab  # noqa: E402

# Twelve hours of the site's own traffic, 23.15 jobs a second.
FINISHED_JOBS = 1_000_000
REAL_JOBS = 20          # run to their end by the daemons; their rows are the pattern
PARTS = 64              # of the daemons' table "progress"
LINK_MBIT = 1000
DOWN_S = 1.0            # until an ended daemon is started again
CALM_S = 9.0            # from the kill until the job that is judged
WAIT_S = 20.0           # for its first start; the rule's bound is 3 s
JOB = "00000000000000a1"
MASK = 0xFFFFFFFF


def rotate(value, bits):
    return ((value << bits) | (value >> (32 - bits))) & MASK


def part_of(job):
    """The part of a job's row: XXH32 of its 16 digits, modulo 64."""
    p1, p2, p3 = 2654435761, 2246822519, 3266489917
    data = job.encode()
    lanes = [(p1 + p2) & MASK, p2, 0, -p1 & MASK]
    for i in range(4):
        word = int.from_bytes(data[4 * i:4 * i + 4], "little")
        lanes[i] = rotate((lanes[i] + word * p2) & MASK, 13) * p1 & MASK
    value = sum(rotate(lane, bits) for lane, bits in zip(lanes, (1, 7, 12, 18))) + 16 & MASK
    value = (value ^ value >> 15) * p2 & MASK
    value = (value ^ value >> 13) * p3 & MASK
    return str((value ^ value >> 16) % PARTS)


async def add_finished(store, patterns, rnd):
    """Rows of jobs that were completed in the last hours, as the daemons write them."""
    for i in range(FINISHED_JOBS):
        if i % 2000 == 0:
            await asyncio.sleep(0.001)  # the store goes on answering
        job = f"{rnd.getrandbits(64):016x}"
        where = ("progress", part_of(job))
        store.version += 1
        store.rows.setdefault(where, {})[job] = (rnd.choice(patterns), store.version)
    for where, rows in list(store.rows.items()):
        if where[0] == "progress":
            store.keys[where] = sorted(rows)
            await asyncio.sleep(0.001)


async def submit_quick(deployment, job):
    body = {"spec": '{"ms":300}',
            "steps": [{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 300}]}
    for daemon in deployment.daemons * 6:
        if daemon.is_up():
            status, _ = await lab.submit(daemon, job, body)
            deployment.record.add(f"submit {job} at {daemon.name}: {status}")
            if status == 200:
                return
        await asyncio.sleep(0.3)
    raise lab.CannotRun("no daemon accepted the job")


async def scenario(deployment, trouble):
    record, store, fleet = deployment.record, deployment.store, deployment.fleet
    await deployment.start({"svc": 9}, [lab.ROUTE])
    # Swarm-alert and flow-model of the site: 1.6 steps of 6 tasks, 2 of 8.
    for i in range(REAL_JOBS):
        count = 6 if i % 10 else 8
        steps = [{"count": count, "cpu": 880, "memMb": 64, "estimateMs": 300},
                 {"count": count, "cpu": 880, "memMb": 64, "estimateMs": 300,
                  "dependsOn": [0]}]
        await lab.submit(deployment.daemons[i % 3], f"{i:016x}",
                         {"spec": '{"ms":300}', "steps": steps[:1 + (i % 5 < 3)]})
    await asyncio.sleep(8)
    patterns = []
    for part, key, value in store.table("progress"):
        if '"completed"' not in value or part != part_of(key):
            raise lab.CannotRun(f"row {key} of part {part}: {value}")
        patterns.append(base64.b64encode(value.encode()).decode())
    record.add(f"{len(patterns)} jobs completed; their rows are kept, for example {value}")
    if len(patterns) != REAL_JOBS:
        raise lab.CannotRun("not all jobs were completed")
    await add_finished(store, patterns, random.Random(5))
    record.add(f"{FINISHED_JOBS} such rows of the last 12 hours are in the store")
    await asyncio.sleep(3)
    enforcing = asyncio.ensure_future(lab.enforce_memory(deployment, DOWN_S))
    await deployment.wait(lambda: deployment.owner() is not None, 5, "an owner")

    struck = lab.now()
    if trouble:
        owner = deployment.owner()
        owner.kill()
        await asyncio.sleep(DOWN_S)
        owner.start()
    await asyncio.sleep(max(0, struck + CALM_S - lab.now()))

    await submit_quick(deployment, JOB)
    sent = lab.now()
    while lab.now() < sent + WAIT_S and not fleet.runs_of(JOB):
        await asyncio.sleep(0.02)
    runs = fleet.runs_of(JOB)
    enforcing.cancel()
    for daemon in deployment.daemons:
        record.add(f"{daemon.name}: peak {daemon.peak_mb:.0f} MB, "
                   f"{daemon.own_ends} times over its memory")
    if not runs:
        record.add(f"LOST: {JOB} was accepted {WAIT_S:.0f} s ago, {sent - struck:.0f} s "
                   "after the kill; 9 idle workers, and no run of it was started")
        return False
    record.add(f"{JOB} started {runs[0][0] - sent:.2f} s after its acknowledgement")
    return runs[0][0] - sent <= 3.0


lab.main(HERE, scenario, LINK_MBIT)
