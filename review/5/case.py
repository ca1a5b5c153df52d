"""Cancels that an owner of before takes away: see claim.txt."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
sys.dont_write_bytecode = True

import fleet  # noqa: E402

HOST, KEY = "jobs.example", "key-of-the-tenant-a001"
HEADERS = [f"Host: {HOST}", f"Authorization: Bearer {KEY}", "Deadline: 3000"]
# One work unit that lasts.
BODY = {"spec": "3600000", "steps": [
    {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 700, "longRunning": True}]}
ROUNDS, JOBS, CANCELS_EACH_S = 6, 100, 0.004
LOST_ANSWERS_S = 4.5
CANCEL_S, STOP_TIMEOUT_S, CONTACT_S = 3.0, 0.9, 3.0


async def ask(world, nodes, method, job, body=None):
    """Asks one node after another until one answers with 2xx or 410."""
    for attempt in range(5):
        node = nodes[attempt % len(nodes)]
        try:
            status, _ = await fleet.call(node.front, method, f"/q/{job}", HEADERS, body)
            world.record.write(f"client: {method} {job} at {node.name}: {status}")
            if status == 200 or status == 410:
                return status
        except fleet.Broken as error:
            world.record.write(f"client: {method} {job} at {node.name}: {error}")
        await asyncio.sleep(0.3)
    return None


async def lose_answers(world, node):
    world.record.write(f"the store's answers to transactions of {node.name} are lost")
    writes_before = world.store.writes
    node.door.loses_answers, node.door.lost = True, 0
    await asyncio.sleep(LOST_ANSWERS_S)
    node.door.loses_answers = False
    writes = world.store.writes - writes_before
    world.record.write(f"answers are lost no more; {node.door.lost} of {writes} writes got none")


async def play_round(world, number, acked):
    """Two changes of the owner, with jobs accepted between them and cancelled at the second."""
    first, epoch = world.owner()
    others = [node for node in world.nodes if node is not first]
    lost = None
    if world.trouble:
        lost = asyncio.ensure_future(lose_answers(world, first))
        until = time.monotonic() + 3.5
        while world.owner()[1] == epoch and time.monotonic() < until:
            await asyncio.sleep(0.02)
    second, second_epoch = world.owner()
    world.record.write(f"owners: {first.name}, epoch {epoch}, then {second.name}, epoch {second_epoch}")
    await asyncio.sleep(0.4)
    jobs = [f"{number:08x}{index:08x}" for index in range(JOBS)]
    taken = await asyncio.gather(*(ask(world, others, "POST", job, BODY) for job in jobs))
    accepted = [job for job, status in zip(jobs, taken) if status == 200]
    world.record.write(f"{len(accepted)} jobs accepted")
    stops = world.trouble and second is not first
    if stops:
        world.record.write(f"{second.name} gets SIGTERM")
        second.signal(signal.SIGTERM)
    cancels = []

    async def cancel(job, nodes):
        if await ask(world, nodes, "DELETE", job):
            acked[job] = time.monotonic()

    # Each client reaches a node of its own; half of them the node that was the owner.
    for index, job in enumerate(accepted):
        nodes = [first, *others] if index % 2 else [*others, first]
        nodes = [node for node in nodes if not (stops and node is second)]
        cancels.append(asyncio.ensure_future(cancel(job, nodes)))
        await asyncio.sleep(CANCELS_EACH_S)
    await asyncio.gather(*cancels)
    world.record.write(f"{len(acked)} cancels acknowledged; owner: epoch {world.owner()[1]}")
    if lost:
        await lost
    if stops:
        await asyncio.sleep(4)
        second.end()
        second.start()
        await world.wait_ready(second)
    await asyncio.sleep(2)


async def scenario(world):
    routes = [fleet.route("r-4jcda9r", HOST, "/q/", "calc")]
    tenants = [fleet.tenant("tenant-a", [KEY])]
    await world.begin(fleet.config(routes, ["calc"], tenants), [("calc", 9)], nodes=3)
    await asyncio.sleep(3)
    acked = {}
    for number in range(ROUNDS):
        await play_round(world, number, acked)
    await asyncio.sleep(CONTACT_S + CANCEL_S + STOP_TIMEOUT_S + 3)
    # Rule UNASKED: a work unit runs on `stopTimeoutMs` after `cancel_ms` after the ack.
    broken = []
    for executor in world.fleet.executors:
        for run in executor.runs.values():
            job = run.unit.split(".")[0]
            if job in acked:
                age = time.monotonic() - acked[job]
                broken.append(f"UNASKED {run.unit}: runs {age:.1f} s after its job's cancel was acknowledged")
    for text in broken:
        world.record.write(text)
    return broken


if __name__ == "__main__":
    fleet.main(FOLDER, scenario)
