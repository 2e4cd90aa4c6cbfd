"""A queue whose policy allows only the workers that are not the least loaded."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lab-2"))
import lab  # noqa: E402

# 12 workers, as the service harvestdesk has; the policy allows those of kind b.
KINDS = "bbbbaaaaaaaa"
ADVICE = {"decide_ms": 20, "each_ms": 2, "valid_ms": 3000}
ADVISED = {**lab.ROUTE, "name": "r-advised", "pathPrefix": "/advised/", "advice": ADVICE}
JOB = "00000000000000a1"
SERVING = "00000000000000b1"
WAIT_S = 25.0           # for the first start; the rule's bound is 3 s


class Advice:
    """The service at `advice`: its policy is the worker's kind."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.turn = asyncio.Lock()  # one call at a time
        self.issued = {}            # (step, worker's id) -> until when

    async def handle(self, request):
        body = request.json()
        async with self.turn:
            await asyncio.sleep((ADVICE["decide_ms"] +
                                 ADVICE["each_ms"] * len(body["workers"])) / 1000)
        kinds = {w.id: w.kind for w in self.fleet.workers.values()}
        good = [i for i in body["workers"] if kinds.get(i) == "b"]
        for worker in good:
            self.issued[(body["step"], worker)] = lab.now() + ADVICE["valid_ms"] / 1000
        self.record.add(f"advise {body['step']}: asked for "
                        f"{''.join(sorted(kinds.get(i, '?') for i in body['workers']))}, "
                        f"{len(good)} good")
        return 200, {"good": [[i, f"{body['step']}/{i}"] for i in good],
                     "valid_ms": ADVICE["valid_ms"]}

    def is_valid(self, worker, task, ticket):
        step = task.rsplit(".", 1)[0]
        if not task.startswith(JOB):
            return True
        return (ticket == f"{step}/{worker.id}" and
                lab.now() < self.issued.get((step, worker.id), 0))


async def scenario(deployment, trouble):
    record, fleet = deployment.record, deployment.fleet
    advice = Advice(fleet, record)
    fleet.is_ticket_valid = advice.is_valid
    server = await lab.Server(advice.handle).start()
    await deployment.start({"svc": KINDS}, [lab.ROUTE, ADVISED],
                           advice_address=server.address)
    if trouble:
        # A job of another queue: one core of 16 on each worker of kind b.
        body = {"spec": '{"lasts":true}', "steps": [
            {"count": 4, "cpu": 1000, "memMb": 64, "estimateMs": 300, "longRunning": True,
             "requirements": "b", "antiAffinity": 1}]}
        status, _ = await lab.submit(deployment.daemons[0], SERVING, body)
        record.add(f"submit {SERVING}: {status}")
    await asyncio.sleep(5)
    used = [w.box for w in fleet.workers.values() if w.running]
    record.add(f"workers with a task: {used}")
    if trouble and len(used) != 4:
        raise lab.CannotRun("the serving job does not run on its four workers")

    body = {"spec": '{"ms":300}', "steps": [
        {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 300}]}
    status, _ = await lab.submit(deployment.daemons[1], JOB, body,
                                 prefix=ADVISED["pathPrefix"])
    record.add(f"submit {JOB}: {status}")
    if status != 200:
        raise lab.CannotRun("the job was not accepted")
    sent = lab.now()
    while lab.now() < sent + WAIT_S and not fleet.runs_of(JOB):
        await asyncio.sleep(0.02)
    runs = fleet.runs_of(JOB)
    if not runs:
        free = [f"{w.box} {16 - len(w.running)} of 16 cores" for w in
                fleet.workers.values() if w.kind == "b"]
        record.add(f"free on the workers that may run it: {', '.join(free)}")
        record.add(f"LOST: {JOB} was accepted {WAIT_S:.0f} s ago, and no run of it was "
                   "started")
        return False
    record.add(f"{JOB} started {runs[0][0] - sent:.2f} s after its acknowledgement")
    return runs[0][0] - sent <= 3.0


lab.main(HERE, scenario)
