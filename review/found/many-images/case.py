"""Work of many images on the one node that is left: see claim.txt."""

import asyncio
import hashlib
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "standin"))
sys.dont_write_bytecode = True

import fleet  # noqa: E402

HOST, KEY = "jobs.example", "key-of-the-tenant-0001"
HEADERS = [f"Host: {HOST}", f"Authorization: Bearer {KEY}", "Deadline: 3000"]
JOBS, IMAGES, JOBS_PER_S = 640, 128, 25.0
FINISH_S, IDLE_S = 14, 3.0


def job_of(number):
    name = hashlib.sha256(str(number % IMAGES).encode()).hexdigest()
    image = f"registry.levy-reporting.example/declarations/emissions-calculator@sha256:{name}"
    step = {"count": 8, "cpu": 500, "memMb": 256, "estimateMs": 150, "image": image}
    return {"spec": "150", "steps": [step, {**step, "dependsOn": [0]}]}


async def submit(world, number, accepted):
    job = f"{number:016x}"
    for attempt in range(5):
        node = world.nodes[(number + attempt) % len(world.nodes)]
        try:
            status, _ = await fleet.call(
                node.front, "POST", f"/q/{job}", HEADERS, job_of(number))
            world.record.write(f"client: POST {job} at {node.name}: {status}")
            if 200 <= status < 300:
                accepted[job] = time.monotonic()
                return
        except fleet.Broken as error:
            world.record.write(f"client: POST {job} at {node.name}: {error}")
        await asyncio.sleep(1.0)


async def state_of(world, job):
    for node in world.nodes:
        try:
            status, body = await fleet.call(node.front, "GET", f"/q/{job}", HEADERS)
            if status == 200:
                return body["state"]
        except fleet.Broken:
            pass
    return "no answer"


async def scenario(world):
    routes = [fleet.route("r-4jcda9r", HOST, "/q/", "calc")]
    tenants = [fleet.tenant("tenant-a", [KEY])]
    await world.begin(fleet.config(routes, ["calc"], tenants), [("calc", 9)], nodes=3)
    chance = random.Random(1)
    for executor in world.fleet.executors:
        # Durations of work units spread about their estimate, as on the users' sites.
        executor.duration = lambda unit, spec: min(400, 150 * chance.lognormvariate(0, 0.5))
    await asyncio.sleep(2)
    if world.trouble:
        # The loss of any number of nodes has to be borne: one is left.
        for node in world.nodes[1:]:
            world.record.write(f"{node.name} is killed and stays away")
            node.end()
        del world.nodes[1:]
        await asyncio.sleep(3)
    accepted, sent = {}, []
    for number in range(JOBS):
        sent.append(asyncio.ensure_future(submit(world, number, accepted)))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*sent)
    world.record.write(f"end of the traffic: {len(accepted)} of {JOBS} jobs accepted")
    await asyncio.sleep(FINISH_S)
    # Rule LOST: nothing of the job runs for 3 s, though a unit's turn has come and there is room.
    open_jobs = {}
    states = [await state_of(world, job) for job in accepted]
    for job, state in zip(accepted, states):
        if state not in ("completed", "failed", "cancelled"):
            open_jobs[job] = state
    running_before = [unit for unit, runs in world.fleet.running.items() if runs]
    starts_before = len(world.fleet.starts)
    await asyncio.sleep(IDLE_S + 0.5)
    started = world.fleet.starts[starts_before:]
    world.record.write(f"{FINISH_S} s later: {len(open_jobs)} jobs are open, {len(running_before)}"
                       f" units run; in the next {IDLE_S} s {len(started)} units start")
    busy = {unit.split(".")[0] for unit in running_before} | {unit.split(".")[0] for _, unit in started}
    broken = []
    for job, state in open_jobs.items():
        text = f"LOST {job}: accepted, '{state}'; nothing of it runs, and all executors are free"
        if job not in busy and not running_before and not started:
            broken.append(text)
            world.record.write(text)
    return broken


if __name__ == "__main__":
    fleet.main(FOLDER, scenario)
