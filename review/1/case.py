"""A store that refuses calls for a moment, after channels of clients were reset: see claim.txt."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
sys.dont_write_bytecode = True

import fleet  # noqa: E402

HOST, KEY = "jobs.example", "key-of-the-tenant-a001"
HEADERS = [f"Host: {HOST}", f"Authorization: Bearer {KEY}", "Deadline: 3000"]
SLOW_FACTOR, SLOW_S = 60.0, 1.6
REFUSES_AFTER_S, REFUSES_S = 0.9, 0.6
# Channels are reset around the beginning of the refusals: each time 0.55 of those of one node.
RESETS_AT_S, RESET_SHARE = (0.56, 0.62, 0.70, 0.78, 0.85, 0.92), 0.55
ROUNDS, ROUND_S = 12, 8.0
JOBS_PER_S = 16.0
# 6 work units, each 0.4 s on 2.5 cores: one job fills an executor.
JOB = {"spec": "400", "steps": [{"count": 6, "cpu": 2500, "memMb": 256, "estimateMs": 400}]}


async def submit(world, number, channels):
    """Hands a job in, and again after a broken channel or a 503, as PROTOCOL tells of clients."""
    job = f"{number:016x}"
    for attempt in range(5):
        node = world.nodes[(number + attempt) % len(world.nodes)]
        try:
            status, _ = await fleet.call(
                node.front, "POST", f"/q/{job}", HEADERS, JOB, channels=channels[node.name])
        except fleet.Broken as error:
            world.record.write(f"client: POST {job} at {node.name}: {error}")
            continue
        world.record.write(f"client: POST {job} at {node.name}: {status}")
        if status != 503:
            return
        await asyncio.sleep(1.0)


async def disturb(world, channels):
    """One answer of the store takes 4 ms, or 240 ms while it is slow; then it refuses calls."""
    world.record.write(f"the store is slow, {SLOW_FACTOR} times")
    world.store.slow = SLOW_FACTOR
    resets = [asyncio.ensure_future(reset(world, channels, at)) for at in RESETS_AT_S]
    await asyncio.sleep(REFUSES_AFTER_S)
    world.record.write("the store answers 503")
    world.store.busy = True
    await asyncio.sleep(REFUSES_S)
    world.store.busy = False
    world.record.write("the store answers again")
    await asyncio.sleep(SLOW_S - REFUSES_AFTER_S - REFUSES_S)
    world.store.slow = 1.0
    await asyncio.gather(*resets)


async def reset(world, channels, at):
    await asyncio.sleep(at)
    node = random.choice(world.nodes)
    hit = [channel for channel in channels[node.name] if random.random() < RESET_SHARE]
    world.record.write(f"{len(hit)} channels of clients at {node.name} are reset")
    fleet.reset_channels(hit)


async def scenario(world):
    routes = [fleet.route("r-4jcda9r", HOST, "/q/", "calc")]
    tenants = [fleet.tenant("tenant-a", [KEY])]
    await world.begin(fleet.config(routes, ["calc"], tenants), [("calc", 9)], nodes=3)
    await asyncio.sleep(3)
    channels = {node.name: set() for node in world.nodes}
    sent, number = [], 0
    for _ in range(ROUNDS):
        for tick in range(int(3.0 * JOBS_PER_S)):
            if world.trouble and tick == int(1.0 * JOBS_PER_S):
                sent.append(asyncio.ensure_future(disturb(world, channels)))
            sent.append(asyncio.ensure_future(submit(world, number, channels)))
            number += 1
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.sleep(ROUND_S - 3.0)
    await asyncio.gather(*sent)
    await asyncio.sleep(5)
    return world.fleet.twice


if __name__ == "__main__":
    fleet.main(FOLDER, scenario)
