"""An executor that starts again under its id and is cut off soon after: see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
sys.dont_write_bytecode = True

import fleet  # noqa: E402

HOST, KEY = "jobs.example", "key-of-the-tenant-a001"
HEADERS = [f"Host: {HOST}", f"Authorization: Bearer {KEY}", "Deadline: 3000"]
# 5 work units that last, on one of the two executors of kind `b`.
LASTING = {"spec": "3600000", "steps": [
    {"count": 5, "cpu": 1000, "memMb": 256, "estimateMs": 700, "longRunning": True,
     "requirements": "b", "mayMiss": 1}]}
# Fills the other executor of kind `b` for 5 s.
WHOLE = {"spec": "5000", "steps": [
    {"count": 1, "cpu": 16000, "memMb": 256, "estimateMs": 5000, "requirements": "b"}]}
ROUNDS, DOWN_S, FIRST_BEAT_S, UP_S, CUT_S = 5, 0.2, 0.5, 1.2, 6.0


async def submit(world, number, body):
    job = f"{number:016x}"
    for attempt in range(5):
        node = world.nodes[(number + attempt) % len(world.nodes)]
        try:
            status, _ = await fleet.call(node.front, "POST", f"/q/{job}", HEADERS, body)
            world.record.write(f"client: POST {job} at {node.name}: {status}")
            if status == 200:
                return
        except fleet.Broken as error:
            world.record.write(f"client: POST {job} at {node.name}: {error}")
        await asyncio.sleep(1.0)


async def scenario(world):
    routes = [fleet.route("r-4jcda9r", HOST, "/q/", "calc")]
    tenants = [fleet.tenant("tenant-a", [KEY])]
    setup = world.begin(fleet.config(routes, ["calc"], tenants), [("calc", 9)], nodes=3,
                        kinds={0: "b", 4: "b"})
    await setup
    pair = [world.fleet.executors[0], world.fleet.executors[4]]
    await asyncio.sleep(3)
    await submit(world, 1, LASTING)
    await asyncio.sleep(6)
    for number in range(ROUNDS):
        holder = next((executor for executor in pair if len(executor.runs) == 5), None)
        if holder is None:
            world.record.write("the work units that last are not on one executor")
            await asyncio.sleep(3)
            continue
        await submit(world, 100 + number, WHOLE)
        await asyncio.sleep(1.0)
        if world.trouble:
            holder.crash()
            await asyncio.sleep(DOWN_S)
            await holder.restart(FIRST_BEAT_S)
            await asyncio.sleep(UP_S)
            holder.cut()
            await asyncio.sleep(CUT_S)
            holder.heal()
        else:
            await asyncio.sleep(DOWN_S + FIRST_BEAT_S + UP_S + CUT_S)
        await asyncio.sleep(7)
    return world.fleet.twice


if __name__ == "__main__":
    fleet.main(FOLDER, scenario)
