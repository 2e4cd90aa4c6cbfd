"""A burst of jobs on a queue with advice. See claim.txt."""

import asyncio
import json
import os
import random
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lab-3"))
import platform_lab as lab  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
TRAFFIC_S = 50.0
JOBS_PER_S = 4.0
BURST_X, BURST_AT_S, BURST_FOR_S = 2.6, 8.0, 4.0
# Eight workers are named, so that a call takes 107 ms: at 8 steps a second the
# service is in use 86% of the time.
ADVICE = {"decide_ms": 75, "each_ms": 4, "valid_ms": 3000}
CONFIG = {"version": 3, "routes": [
    {"name": "r-puxa400", "host": "jobs.example", "pathPrefix": "/puxa400/",
     "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600,
     "priority": 0, "service": "huvo11a", "attempts": 4, "extension": 1.6,
     "advice": ADVICE}],
    "services": [{"name": "huvo11a", "enforcesCapacity": False, "spare": False}],
    "limits": {"maxBodyBytes": 262144}}
STEP = {"count": 2, "cpu": 880, "memMb": 910, "estimateMs": 800}
TASKS = 4
JOB = json.dumps({"spec": json.dumps({"ms": 800}), "steps": [
    STEP, dict(STEP, dependsOn=[0])]})


class Case:
    def __init__(self, folder):
        self.system = lab.System(HERE, folder)
        self.record = self.system.record
        self.random = random.Random(SEED)
        self.accepted = []
        self.advice = lab.Advice(self.record, **ADVICE)

    async def ask(self, method, job, body=None):
        ready = [d for d in self.system.daemons if d.ready] or self.system.daemons
        host, port = self.random.choice(ready).callers
        return await lab.call(host, port, method, "/puxa400/" + job, body,
                              headers={"Host": "jobs.example", "Deadline-Ms": "3000",
                                       "Content-Type": "application/json"})

    async def submit(self):
        job = "%016x" % self.random.getrandbits(64)
        for _ in range(5):
            status, _ = await self.ask("POST", job, JOB)
            self.record.write("POST %s answered %d" % (job, status))
            if status // 100 == 2:
                self.accepted.append(job)
                return
            if status in (429, 503):
                return
            await asyncio.sleep(0.3)

    async def traffic(self):
        begun = lab.now()
        while lab.now() < begun + TRAFFIC_S:
            asyncio.ensure_future(self.submit())
            in_burst = TROUBLE and BURST_AT_S <= lab.now() - begun < BURST_AT_S + BURST_FOR_S
            rate = JOBS_PER_S * (BURST_X if in_burst else 1.0)
            await asyncio.sleep(1 / rate)

    async def play(self):
        system, record, fleet = self.system, self.record, self.system.fleet
        await self.advice.server.start()
        system.values["advice"] = self.advice.server.address
        fleet.advice = self.advice
        boxes = [("m-%05x" % i, "huvo11a", "hall-%d" % (i % 3), "r1-%d" % (i // 4))
                 for i in range(9)]
        await system.begin(CONFIG, boxes, [("edge-%d" % i, "hall-%d" % (i % 3)) for i in range(6)])
        try:
            await asyncio.sleep(8)
            if not system.owner():
                record.write("could not run: nobody owns the shard")
                return 2
            await self.traffic()
            record.write("the traffic has ended")
            await asyncio.sleep(14)  # finish_s
            still = set(self.accepted)
            until = lab.now() + 3.2
            while lab.now() < until:
                still = {job for job in still if not fleet.is_running(job)}
                await asyncio.sleep(0.05)
            still = {job for job in still if not fleet.is_done(job, TASKS)}
            states = {job: await self.ask("GET", job) for job in sorted(still)[:3]}
            in_use = fleet.running_tasks() * 880 / (len(boxes) * fleet.cpu)
            record.write("%d jobs accepted; %d of them had nothing running for 3 s, 14 s after the "
                         "traffic, with %.0f%% of the workers' cores in use: %s" % (
                             len(self.accepted), len(still), 100 * in_use, states))
            record.write("advice: %d answers, %d times 429" % (self.advice.calls, self.advice.refused))
            for line in fleet.breaks:
                record.write("also broken: " + line)
            if not self.accepted:
                return 2
            return 1 if still and in_use < 0.5 else 0
        finally:
            system.end()


def main():
    if not os.access(os.path.join(lab.ROOT, "target/daemon/quartzhoistd"), os.X_OK):
        return 2
    with tempfile.TemporaryDirectory() as folder:
        async def go():
            return await asyncio.wait_for(Case(folder).play(), 118)
        return asyncio.run(go())


sys.exit(main())
