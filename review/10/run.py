"""One worker is lost for good, on a pool with standing jobs. See claim.txt."""

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
TRAFFIC_S = 40.0
# The sheet of inkveld-prod: storefront has 8 workers; proof-watch has tasks that
# last, up to 8 a job, each on a worker of its own; quote-calc comes at 5.89 jobs
# a second and has small steps.
BOXES, STANDING_JOBS, STANDING_TASKS = 8, 26, 8
JOBS_PER_S = 2.0
CONFIG = {"version": 3, "routes": [
    {"name": "r-8nbkxxm", "host": "jobs.example", "pathPrefix": "/tije37/",
     "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 2500,
     "priority": 0, "service": "huvo11a", "attempts": 4, "extension": 2.2},
    {"name": "r-puxa400", "host": "jobs.example", "pathPrefix": "/puxa400/",
     "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600,
     "priority": 0, "service": "huvo11a", "attempts": 3, "extension": 1.6}],
    "services": [{"name": "huvo11a", "enforcesCapacity": False, "spare": False}],
    "limits": {"maxBodyBytes": 262144}}
STANDING = json.dumps({"spec": json.dumps({"lasts": True}), "steps": [
    {"count": STANDING_TASKS, "cpu": 150, "memMb": 300, "estimateMs": 700, "longRunning": True,
     "antiAffinity": 1, "may_miss": 1}]})
SMALL = json.dumps({"spec": json.dumps({"ms": 1000}), "steps": [
    {"count": 6, "cpu": 500, "memMb": 300, "estimateMs": 1000}]})


class Case:
    def __init__(self, folder):
        self.system = lab.System(HERE, folder)
        self.record = self.system.record
        self.random = random.Random(SEED)
        self.accepted = []

    async def ask(self, method, path, body=None):
        ready = [d for d in self.system.daemons if d.ready] or self.system.daemons
        host, port = self.random.choice(ready).callers
        return await lab.call(host, port, method, path, body,
                              headers={"Host": "jobs.example", "Deadline-Ms": "3000",
                                       "Content-Type": "application/json"})

    async def submit(self, prefix, body):
        job = "%016x" % self.random.getrandbits(64)
        for _ in range(5):
            status, _ = await self.ask("POST", prefix + job, body)
            self.record.write("POST %s%s answered %d" % (prefix, job, status))
            if status // 100 == 2:
                return job
            if status in (429, 503):
                return None
            await asyncio.sleep(0.3)
        return None

    async def submit_small(self):
        job = await self.submit("/puxa400/", SMALL)
        if job:
            self.accepted.append(job)

    async def traffic(self):
        end = lab.now() + TRAFFIC_S
        while lab.now() < end:
            asyncio.ensure_future(self.submit_small())
            await asyncio.sleep(1 / JOBS_PER_S)

    async def play(self):
        system, record = self.system, self.record
        fleet = system.fleet
        boxes = [("m-%05x" % i, "huvo11a", "hall-%d" % (i % 3), "r1-%d" % (i // 4))
                 for i in range(BOXES)]
        await system.begin(CONFIG, boxes, [("edge-%d" % i, "hall-%d" % (i % 3)) for i in range(6)])
        try:
            await asyncio.sleep(8)
            if not system.owner():
                record.write("could not run: nobody owns the shard")
                return 2
            standing = [await self.submit("/tije37/", STANDING) for _ in range(STANDING_JOBS)]
            await asyncio.sleep(6)
            record.write("%d of %d standing tasks are at work" % (
                fleet.running_tasks(), len(standing) * STANDING_TASKS))
            if TROUBLE:
                # Lost for good: its entry goes, and nothing comes in its place.
                worker = fleet.workers.pop(sorted(fleet.workers)[0])
                fleet.pools.pop(worker.box)
                worker.crash()
                asyncio.get_running_loop().call_later(
                    3 * fleet.HEARTBEAT_S, system.store.remove, "servers", "", worker.id)
            await asyncio.sleep(12)
            await self.traffic()
            record.write("the traffic has ended")
            await asyncio.sleep(14)  # finish_s
            still = set(self.accepted)
            until = lab.now() + 3.2
            while lab.now() < until:
                still = {job for job in still if not fleet.is_running(job)}
                await asyncio.sleep(0.05)
            still = {job for job in still if not fleet.is_done(job, 6)}
            used = sum(500 if "lasts" not in run["spec"] else 150
                       for worker in fleet.workers.values() for run in worker.runs.values())
            in_use = used / (len(fleet.workers) * fleet.cpu)
            states = {job: (await self.ask("GET", "/puxa400/" + job))[1] for job in sorted(still)[:3]}
            record.write("%d small jobs accepted; %d of them had nothing running for 3 s, 14 s after "
                         "the traffic, with %.0f%% of the workers' cores in use: %s" % (
                             len(self.accepted), len(still), 100 * in_use, states))
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
