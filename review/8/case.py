"""A daemon freezes; a client whose submission got no answer cancels the job."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lab-2"))
import lab  # noqa: E402

FREEZE_S = 3.5      # the site's largest dose of node_freeze
DEADLINE_S = 3.0    # the site's deadline of a call
SETTLED_S = 20.0    # from the acknowledged cancel to the look at what runs
JOB = "00000000000000c1"


async def scenario(deployment, trouble):
    record = deployment.record
    await deployment.start({"svc": 9}, [lab.ROUTE], daemons=6)
    owner = deployment.owner()
    others = [d for d in deployment.daemons if d is not owner]
    first, second = others[0], others[1]
    record.add(f"owner {owner.name}; submission to {first.name}, cancel at {second.name}")
    await asyncio.sleep(3)

    struck = lab.now()
    if trouble:
        first.signal(signal.SIGSTOP)
    body = {"spec": '{"lasts":true}', "steps": [
        {"count": 3, "cpu": 500, "memMb": 64, "estimateMs": 300, "longRunning": True}]}
    status, answer = await lab.submit(first, JOB, body, DEADLINE_S)
    record.add(f"POST {JOB} at {first.name}: {status} {answer.decode()}")

    status, answer = await lab.cancel(second, JOB, DEADLINE_S)
    cancelled = lab.now()
    record.add(f"DELETE {JOB} at {second.name}: {status}")
    if status != 410 and status // 100 != 2:
        raise lab.CannotRun("the cancel was not acknowledged")
    await asyncio.sleep(max(0, struck + FREEZE_S - lab.now()))
    if trouble:
        first.signal(signal.SIGCONT)

    await asyncio.sleep(cancelled + SETTLED_S - lab.now())
    running = [(task, worker.id) for worker in deployment.fleet.workers.values()
               for task in worker.running if task.startswith(JOB)]
    for daemon in (owner, second):
        record.add(f"GET {JOB} at {daemon.name}: {await lab.state(daemon, JOB)}")
    for task, worker in running:
        record.add(f"UNASKED: {task} runs on {worker} {SETTLED_S:.0f} s after the cancel "
                   "was acknowledged")
    return not running


lab.main(HERE, scenario)
