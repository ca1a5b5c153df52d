"""One job of many small work units: see claim.txt."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
sys.dont_write_bytecode = True

import fleet  # noqa: E402

HOST = "jobs.example"
KEYS = {"tenant-a": "key-of-the-tenant-a001", "tenant-b": "key-of-the-tenant-b001"}
# 40 core-seconds in all: half of what an ordinary `insurer-dossier` takes.
UNITS, UNIT_CPU, UNIT_MS = 8000, 100, 50
SMALL_JOBS, SMALL_JOBS_PER_S = 60, 2.0
FINISH_S, IDLE_S = 14, 3.0


def headers(tenant):
    return [f"Host: {HOST}", f"Authorization: Bearer {KEYS[tenant]}", "Deadline: 3000"]


def job_of(count, cpu, ms):
    return {"spec": str(ms), "steps": [{"count": count, "cpu": cpu, "memMb": 8, "estimateMs": ms}]}


async def submit(world, tenant, number, body, accepted):
    job = f"{number:016x}"
    for attempt in range(5):
        node = world.nodes[(number + attempt) % len(world.nodes)]
        try:
            status, _ = await fleet.call(node.front, "POST", f"/q/{job}", headers(tenant), body)
            world.record.write(f"client of {tenant}: POST {job} at {node.name}: {status}")
            if 200 <= status < 300:
                accepted[job] = tenant
                return
            if status == 400:
                return
        except fleet.Broken as error:
            world.record.write(f"client of {tenant}: POST {job} at {node.name}: {error}")
        await asyncio.sleep(1.0)


async def state_of(world, job, tenant):
    for node in world.nodes:
        try:
            status, body = await fleet.call(node.front, "GET", f"/q/{job}", headers(tenant))
            if status == 200:
                return body["state"]
        except fleet.Broken:
            pass
    return "no answer"


async def scenario(world):
    routes = [fleet.route("r-4jcda9r", HOST, "/q/", "calc")]
    tenants = [fleet.tenant(name, [key]) for name, key in KEYS.items()]
    await world.begin(fleet.config(routes, ["calc"], tenants), [("calc", 9)], nodes=3)
    await asyncio.sleep(2)
    accepted = {}
    if world.trouble:
        await submit(world, "tenant-a", 1 << 60, job_of(UNITS, UNIT_CPU, UNIT_MS), accepted)
    else:
        # The same work as jobs of the size that is usual on the users' sites.
        for number in range(UNITS // 80):
            body = job_of(80, UNIT_CPU, UNIT_MS)
            await submit(world, "tenant-a", (1 << 60) + number, body, accepted)
    sent = []
    for number in range(SMALL_JOBS):
        body = job_of(6, 880, 400)
        sent.append(asyncio.ensure_future(submit(world, "tenant-b", number, body, accepted)))
        await asyncio.sleep(1 / SMALL_JOBS_PER_S)
    await asyncio.gather(*sent)
    world.record.write(f"end of the traffic: {len(accepted)} jobs accepted")
    await asyncio.sleep(FINISH_S)
    # Rule LOST: nothing of the job runs for 3 s, though a unit's turn has come and there is room.
    open_jobs = {}
    for job, tenant in accepted.items():
        state = await state_of(world, job, tenant)
        if state not in ("completed", "failed", "cancelled"):
            open_jobs[job] = state
    starts_before = len(world.fleet.starts)
    running = {unit.split(".")[0] for unit, runs in world.fleet.running.items() if runs}
    await asyncio.sleep(IDLE_S + 0.2)
    running |= {unit.split(".")[0] for _, unit in world.fleet.starts[starts_before:]}
    world.record.write(f"{FINISH_S} s later {len(open_jobs)} jobs are open; in the next {IDLE_S} s"
                       f" work units of {len(running)} jobs run")
    broken = []
    for job, state in open_jobs.items():
        if job not in running and len(running) < 5:
            text = f"LOST {job} of {accepted[job]}: accepted, '{state}'; nothing of it runs, and the executors are free"
            world.record.write(text)
            broken.append(text)
    return broken


if __name__ == "__main__":
    fleet.main(FOLDER, scenario)
