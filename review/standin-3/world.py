"""Stand-ins of the users' platform for one loopback deployment: store, machine list, advisor,
executors and clients, and the node processes themselves. Standard library only.

The executors follow PROTOCOL.md ("Running work units") and record what they see; `Checker` holds
the rules that are checked, as they stand in RULES.md."""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

T0 = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - T0


def unix_ms():
    return int(time.time() * 1000)


def free_port():
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    port = s.getsockname()[1]
    s.close()
    return port


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.broken = []

    def line(self, text):
        self.file.write("%9.3f %s\n" % (now(), text))
        self.file.flush()

    def broke(self, rule, text):
        self.broken.append((rule, text))
        self.line("BROKEN %s: %s" % (rule, text))


class HttpServer:
    """HTTP/1.1 with keep-alive. `handler(method, path, query, headers, body)` returns
    (status, object), or None to close the connection without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.silent = set()

    def silence(self):
        """Lets the open connections go silent for good; new ones work."""
        self.silent |= self.writers

    async def start(self, port=0, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def drop_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        if self.server:
            self.server.close()
            self.drop_connections()
            self.server = None

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                obj = json.loads(body) if body else None
                if writer in self.silent:
                    await asyncio.sleep(600)
                answer = await self.handler(method, unquote(url.path), query, headers, obj)
                if writer in self.silent:
                    await asyncio.sleep(600)
                if answer is None:
                    break
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    ("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                     % (status, len(data))).encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store. Each node reaches it through a port of its own (`link`)."""

    def __init__(self, record):
        self.record = record
        self.rows = {}      # (table, part, key) -> (value, ver)
        self.log = []       # (ver, table, part, key, value or None)
        self.ver = 0
        self.changed = asyncio.Event()
        self.fault = {}     # link name -> fault: down, silent, lost, late, slow
        self.writes = 0
        self.lose = lambda link, body: False

    def _bump(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, obj):
        self.ver += 1
        value = base64.b64encode(json.dumps(obj).encode()).decode()
        self.rows[(table, "", key)] = (value, self.ver)
        self.log.append((self.ver, table, "", key, value))
        self._bump()

    def drop(self, table, key):
        self.ver += 1
        self.rows.pop((table, "", key), None)
        self.log.append((self.ver, table, "", key, None))
        self._bump()

    def get(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def _apply(self, body):
        found, holds = [], True
        for p in body.get("precondition") or []:
            row = self.rows.get((p["table"], p["part"], p["key"]))
            holds = holds and (row[1] if row else 0) == p["ver"]
            found.append({"table": p["table"], "part": p["part"], "key": p["key"],
                          "value": row[0] if row else "", "ver": row[1] if row else 0})
        if not holds:
            return 412, {"rows": found, "ver": self.ver, "nowMs": int(now() * 1000)}
        self.ver += 1
        for p in body.get("setKeys") or []:
            self.rows[(p["table"], p["part"], p["key"])] = (p["value"], self.ver)
            self.log.append((self.ver, p["table"], p["part"], p["key"], p["value"]))
        for p in body.get("remove") or []:
            if self.rows.pop((p["table"], p["part"], p["key"]), None):
                self.log.append((self.ver, p["table"], p["part"], p["key"], None))
        self._bump()
        return 200, {"ver": self.ver, "nowMs": int(now() * 1000)}

    def link(self, name):
        async def handler(method, path, query, headers, body):
            fault = self.fault.get(name)
            if fault == "down":
                return 503, {}
            if fault == "silent":
                await asyncio.sleep(30)
                return None
            if fault == "slow":
                await asyncio.sleep(0.3)
            if path == "/v1/rows-tx":
                await asyncio.sleep(0.004)
                self.writes += 1
                if fault == "late" or self.lose(name, body):
                    delay = 0.0 if fault != "late" else random.uniform(1, 6)
                    async def later():
                        await asyncio.sleep(delay)
                        self._apply(body)
                    asyncio.ensure_future(later())
                    await asyncio.sleep(30)
                    return None
                answer = self._apply(body)
                if fault == "lost" and random.random() < 0.35:
                    await asyncio.sleep(30)
                    return None
                return answer
            if path == "/v1/rows-get":
                await asyncio.sleep(0.002)
                t, part, lo, hi = query["table"], query.get("part", ""), query.get("from", ""), query.get("to", "")
                limit = min(int(query.get("limit", 500)), 500)
                keys = sorted(k for (tt, pp, k) in self.rows
                              if tt == t and pp == part and k >= lo and (not hi or k < hi))
                rows = [{"table": t, "part": part, "key": k, "value": self.rows[(t, part, k)][0],
                         "ver": self.rows[(t, part, k)][1]} for k in keys[:limit]]
                return 200, {"rows": rows, "morePages": len(keys) > limit, "ver": self.ver,
                             "nowMs": int(now() * 1000)}
            if path == "/v1/rows-feed":
                t, since = query["table"], int(query.get("dependsOn", 0))
                until = now() + int(query.get("waitMs", 0)) / 1000
                while True:
                    if self.fault.get(name) == "down":
                        return 503, {}
                    rows = []
                    for ver, tt, part, key, value in reversed(self.log):
                        if ver <= since:
                            break
                        if tt == t:
                            rows.append({"table": tt, "part": part, "key": key, "value": value or "",
                                         "ver": ver, "deleted": value is None})
                    rows.reverse()
                    left = until - now()
                    if rows or left <= 0:
                        return 200, {"rows": rows, "ver": self.ver, "nowMs": int(now() * 1000)}
                    try:
                        await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
                    except asyncio.TimeoutError:
                        pass
            if path == "/v1/rows-parts":
                parts = sorted({p for (t, p, _) in self.rows if t == query["table"]})
                return 200, {"parts": parts, "ver": self.ver}
            return 404, {}
        return HttpServer(handler)


class Worker:
    """An executor: one life at a time, always the same address."""

    def __init__(self, world, index, pool, cpu=8000, mem=64000, labels=None, guards=False, slow=1.0):
        self.world, self.index, self.pool = world, index, pool
        self.id = "i-%04d" % index
        self.machine = "m-%04d" % index
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.labels = labels or ["a", "r1-%d" % (index % 3)]
        self.guards = guards
        self.zone = "z"
        self.state = "ready"
        self.server = HttpServer(self.handle)
        self.up = False
        self.late = 0.0         # share of orders answered by nothing and carried out late
        self.mute = False
        self.port = None
        self.seq = 0

    async def start(self):
        self.born = unix_ms()
        self.zero = now()
        self.token = 0
        self.lease = 0.0        # on the own clock, seconds
        self.running = {}       # unit -> dict
        self.ends = []          # [n, unit, run, how, saved]
        self.n = 0
        self.highest = {}
        self.wake = asyncio.Event()
        self.port = await self.server.start(self.port or 0)
        self.up = True
        self.life = object()
        self.beat()
        self.world.record.line("executor %s starts, born %d" % (self.id, self.born))

    def clock(self):
        return now() - self.zero

    def beat(self):
        self.seq += 1
        self.world.store.put("servers", self.id, {
            "service": self.pool, "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
            "capacity": self.capacity, "labels": self.labels, "clockMs": int(self.clock() * 1000),
            "born": self.born, "machine": self.machine, "seqNo": self.seq})

    async def crash(self):
        self.up = False
        self.world.record.line("executor %s crashes with %s" % (self.id, sorted(self.running)))
        for unit, r in list(self.running.items()):
            self.world.lost_runs.append((unit, r["run"]))
            self.world.checker.ended(self, unit, r, "lost")
        self.running = {}
        await self.server.stop()

    def end(self, unit, how):
        r = self.running.pop(unit)
        self.n += 1
        self.highest[unit] = max(self.highest.get(unit, 0), r["run"])
        saved = r["saved"]
        end = {"n": self.n, "unit": unit, "run": r["run"], "how": how, "saved": saved, "lapsed": False}
        self.ends.append(end)
        self.world.record.line("%s ended %s run %d %s saved=%s" % (self.id, unit, r["run"], how, saved))
        self.world.checker.ended(self, unit, r, how)
        self.wake.set()
        self.wake = asyncio.Event()

    def tick(self, dt):
        if not self.up:
            return
        w = self.world
        if self.clock() > self.lease:
            for e in self.ends:
                e["lapsed"] = True
            for unit in list(self.running):
                self.end(unit, "lapsed")
            return
        for unit, r in list(self.running.items()):
            if unit not in self.running:
                continue
            if r["stop_at"] is not None and now() >= r["stop_at"]:
                if r["saves"]:
                    r["saved"] = w.new_checkpoint(unit, r["done"])
                self.end(unit, "stopped")
                continue
            if r["gang"]:
                members = w.gang_members(unit, r["run"])
                if not r["joined"]:
                    if len(members) == r["gang"]:
                        for other, m in members:
                            m["joined"] = True
                    elif now() - r["at"] > w.gang_timeout:
                        self.end(unit, "alone")
                        continue
                    else:
                        continue
                elif len(members) < r["gang"]:
                    self.end(unit, "broken")
                    continue
            if r["lasts"]:
                r["done"] = min(1.0, r["done"] + dt / 0.5)
                continue
            if now() < r["ready_at"]:
                continue
            r["done"] += dt / r["work"]
            if r["saves"] and now() - r["saved_at"] >= 0.5:
                r["saved"], r["saved_at"] = w.new_checkpoint(unit, r["done"]), now()
            if r["done"] >= 1.0:
                if r["gang"]:
                    for other, m in w.gang_members(unit, r["run"]):
                        other.end(m["unit"], "done")
                else:
                    self.end(unit, w.outcome(unit, r))

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return None
        if self.mute:
            await asyncio.sleep(30)
            return None
        if headers.get("expected-instance") not in (None, self.id):
            return 421, {}
        if method == "GET":
            return 200, {}
        life = self.life
        if self.late and random.random() < self.late:
            delay = random.uniform(2, 6)
            async def later():
                await asyncio.sleep(delay)
                if self.up and self.life is life:
                    self.world.record.line("%s carries out late: %s %s" % (self.id, path, json.dumps(body)[:160]))
                    self.carry_out(path, body, True)
            asyncio.ensure_future(later())
            await asyncio.sleep(30)
            return None
        answer = self.carry_out(path, body, False)
        if path == "/v1/hold" and answer[0] == 200:
            until = now() + (body.get("waitMs") or 0) / 1000
            n = self.n
            while self.up and self.life is life and not self.ends and self.n == n and now() < until:
                try:
                    await asyncio.wait_for(self.wake.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
            if not self.up or self.life is not life:
                return None
            return 200, self.report()
        return answer

    def report(self):
        return {"clockMs": int(self.clock() * 1000), "born": self.born,
                "running": [[u, r["run"], r["saved"], int(r["done"] * 100)] for u, r in self.running.items()],
                "endedRuns": [[e["n"], e["unit"], e["run"], e["how"], e["saved"]] for e in self.ends[:500]]}

    def carry_out(self, path, body, is_late):
        clock = {"clockMs": int(self.clock() * 1000), "born": self.born}
        refuse = lambda why: (409, dict(clock, reason=why))
        token = body.get("fencingToken") or 0
        if token < self.token:
            return refuse("fence")
        self.token = token
        extend = lambda: setattr(self, "lease", max(self.lease, min((body.get("deadlineMs") or 0) / 1000, self.clock() + 10.0)))
        if path == "/v1/hold":
            if body.get("deadlineMs"):
                extend()
            ack = body.get("ackCursor") or 0
            for e in [e for e in self.ends if e["n"] <= ack]:
                self.world.checker.acked(self, e)
            self.ends = [e for e in self.ends if e["n"] > ack]
            return 200, clock
        unit, run = body.get("task"), body.get("run")
        if path == "/v1/run-stop":
            r = self.running.get(unit)
            if r and r["run"] <= run:
                if r["stop_at"] is None:
                    r["stop_at"] = now() + self.world.stop_time * random.uniform(0.2, 1)
            self.highest[unit] = max(self.highest.get(unit, 0), run)
            return 200, clock
        if path == "/v1/pace":
            return 200, clock
        if path == "/v1/run-start":
            if body["deadlineMs"] / 1000 < self.clock():
                return refuse("late")
            extend()
            r = self.running.get(unit)
            if r and r["run"] == run:
                return 200, clock
            if run <= self.highest.get(unit, 0) or (r and r["run"] >= run):
                return refuse("old")
            need = self.world.needs(unit)
            if need and need["advice"]:
                why = self.world.advisor.check(unit, self, body.get("ticket"))
                if why:
                    self.world.record.line("%s rejects %s run %s: ticket (%s)" % (self.id, unit, run, why))
                    return refuse("ticket")
            used = sum(r["cpu"] for r in self.running.values())
            if self.guards and need and used + need["cpu"] > self.capacity["cpu"]:
                return refuse("room")
            if r:
                self.end(unit, "stopped")
            self.world.checker.started(self, unit, run, body, is_late)
            self.highest[unit] = run
            need = need or {"cpu": 0, "work": 1.0, "gang": 0, "saves": False, "lasts": False}
            saved = body.get("checkpoint") or ""
            done = self.world.checkpoint_progress(saved)
            self.running[unit] = {"unit": unit, "run": run, "cpu": need["cpu"], "work": need["work"],
                                  "gang": need["gang"], "joined": False, "saves": need["saves"],
                                  "lasts": need["lasts"], "done": done, "saved": saved, "saved_at": now(),
                                  "at": now(), "ready_at": now() + (0.1 if saved else 0), "stop_at": None}
            return 200, clock
        return 404, {}


class Advisor:
    def __init__(self, world, valid=4.0, good=lambda step, worker: True):
        self.world, self.valid, self.good = world, valid, good
        self.tickets = {}
        self.server = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.02 + 0.004 * len(body["workers"]))
        rows = []
        for wid in body["workers"]:
            worker = self.world.workers_by_id.get(wid)
            if worker and self.good(body["step"], worker):
                ticket = "t%08x" % random.getrandbits(32)
                self.tickets[ticket] = (body["step"], wid, worker.born, now() + self.valid)
                rows.append([wid, ticket])
        return 200, {"good": rows}

    def check(self, unit, worker, ticket):
        t = self.tickets.get(ticket)
        if t is None:
            return "none"
        step = unit.rsplit(".", 1)[0]
        if t[0] != step or t[1] != worker.id or t[2] != worker.born:
            return "foreign"
        return "expired" if now() > t[3] else None


class Checker:
    """The rules, as an observer of sockets sees them."""

    def __init__(self, world):
        self.world = world
        self.jobs = {}          # id -> {spec, steps, due, interval, times, accepted, cancelled, refused, queue}
        self.done = {}          # unit -> list of (worker, run, noted)
        self.noted = set()      # units whose done end was noted
        self.failed = {}        # unit/gang -> set of runs that ended failed
        self.live = {}          # unit -> {(worker id)}
        self.alone = []
        self.started_at = {}

    def parse(self, unit):
        job, k, step, index = unit.split(".")
        return job, int(k), int(step), int(index)

    def started(self, worker, unit, run, body, is_late):
        w = self.world
        w.record.line("%s starts %s run %d token %d%s checkpoint=%s" % (
            worker.id, unit, run, body["fencingToken"], " LATE" if is_late else "", body.get("checkpoint", "")))
        job, k, s, i = self.parse(unit)
        j = self.jobs.get(job)
        if j is None:
            return w.record.broke("UNASKED", "%s was never sent" % unit)
        step = j["steps"][s]
        if body.get("spec", "") != j["spec"]:
            w.record.broke("UNASKED", "%s with another spec" % unit)
        saved = body.get("checkpoint") or ""
        if saved and not w.is_checkpoint_of(saved, unit, step.get("gang")):
            w.record.broke("UNASKED", "%s with a checkpoint that isn't its own: %s" % (unit, saved))
        where = [o.id for o in w.workers if o.up and unit in o.running]
        if where:
            w.record.broke("TWICE", "%s starts on %s while it runs on %s" % (unit, worker.id, where))
        if unit in self.noted:
            w.record.broke("TWICE", "%s starts after its end was taken note of" % unit)
        self.started_at.setdefault(unit, []).append((now(), run))
        for d in step.get("dependsOn") or []:
            for n in range(j["steps"][d]["count"]):
                if "%s.%d.%d.%d" % (job, k, d, n) not in self.done:
                    w.record.broke("ORDER", "%s before step %d was done" % (unit, d))
                    break
        if j.get("repetitions"):
            due = j["firstRunMs"] + k * j["intervalMs"]
            if unix_ms() < due - 250:
                w.record.broke("ORDER", "%s %d ms before its time" % (unit, due - unix_ms()))
        used = sum(r["cpu"] for r in worker.running.values()) + step["cpu"]
        if used > worker.capacity["cpu"] and not worker.guards:
            w.record.broke("LIMIT", "%s brings %s to %d of %d" % (unit, worker.id, used, worker.capacity["cpu"]))
        if step.get("requirements") and step["requirements"] not in worker.labels:
            w.record.broke("ROUTE", "%s on %s without the label" % (unit, worker.id))
        if step.get("antiAffinity"):
            prefix = "%s.%d.%d." % (job, k, s)
            same = sum(1 for u in worker.running if u.startswith(prefix))
            if same + 1 > step["antiAffinity"]:
                w.record.broke("ROUTE", "%s: %d of its step on %s" % (unit, same + 1, worker.id))
        if worker.pool not in w.pools_of(j["queue"]):
            w.record.broke("ROUTE", "%s on pool %s" % (unit, worker.pool))
        if j.get("cancelled") and now() > j["cancelled"] + 3.0 and not is_late:
            w.record.broke("UNASKED", "%s starts %.1f s after its cancelling was acknowledged" % (unit, now() - j["cancelled"]))
        key = unit if not step.get("gang") else "%s.%d.%d" % (job, k, s)
        if not step.get("longRunning") and len(self.failed.get(key, ())) >= w.attempts and run not in self.failed.get(key, ()):
            w.record.broke("BUDGET", "%s after %d failed runs" % (unit, len(self.failed[key])))
        quota = w.quota_max()
        if quota:
            total = sum(r["cpu"] for o in w.workers if o.up for r in o.running.values()) + step["cpu"]
            if total > quota * 1.1 + step["cpu"]:
                w.record.broke("QUOTA", "%s brings the tenant to %d of %d" % (unit, total, quota))

    def ended(self, worker, unit, r, how):
        job, k, s, i = self.parse(unit)
        j = self.jobs.get(job)
        gang = j and j["steps"][s].get("gang")
        if how == "done":
            self.done.setdefault(unit, []).append((worker.id, r["run"]))
            if gang:
                for n in range(j["steps"][s]["count"]):
                    self.done.setdefault("%s.%d.%d.%d" % (job, k, s, n), [])
        if how == "failed":
            self.failed.setdefault(unit if not gang else "%s.%d.%d" % (job, k, s), set()).add(r["run"])
        if how == "alone":
            self.alone.append((now(), unit, r["run"]))
            self.world.record.line("ALONE %s" % unit)

    def acked(self, worker, end):
        if end["how"] == "done" and not end["lapsed"]:
            self.noted.add(end["unit"])
            job, k, s, i = self.parse(end["unit"])
            j = self.jobs.get(job)
            if j and j["steps"][s].get("gang"):
                for n in range(j["steps"][s]["count"]):
                    self.noted.add("%s.%d.%d.%d" % (job, k, s, n))


class Node:
    def __init__(self, world, name):
        self.world, self.name = world, name
        # A loopback address of its own, so that its ports are free.
        pid = os.getpid()
        self.ip = "127.%d.%d.%d" % (64 + (pid >> 8) % 64, pid % 256, 1 + len(world.nodes))
        self.front, self.ready, self.peer = 18340, 18343, 17000
        self.process = None

    async def prepare(self):
        self.link = self.world.store.link(self.name)
        store_port = await self.link.start()
        w = self.world
        settings = {
            "node": self.name, "role": "node", "machineClass": "front", "serves": ["front"],
            "ip": self.ip, "zone": "z", "region": "r", "zones": {"z": "r"},
            "listen": {"front": "%s:%d" % (self.ip, self.front), "ready": "%s:%d" % (self.ip, self.ready)},
            "portRange": [self.peer, self.peer + 15], "seeds": [], "bootstrap": True,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "bounds": {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
                       "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": True,
                       "revokeMs": 5000, "holdMaxMs": 10000, "stopTimeoutMs": int(w.stop_time * 1000),
                       "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
                       "finish_s": 14, "status_s": 120, "checkpointIntervalS": 0.5, "restoreMs": 100,
                       "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2, "fencingRequired": True, "leaseMs": 3000,
                       "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000},
            "orders": "call", "advice": "127.0.0.1:%d" % w.advisor_port,
            "platform": {"address": "127.0.0.1:%d" % store_port, "form": "table", "writesPerS": 600,
                         "readsPerS": 2000, "txMs": 4.0, "partitionWritesS": 250, "rowBytes": 65536,
                         "across": True, "historyS": 20},
            "cloud": {"address": "127.0.0.1:%d" % w.cloud_port, "ratePerS": 64.0, "duties": [], "dutyPerS": 64.0},
        }
        self.settings = os.path.join(w.folder, self.name + ".json")
        with open(self.settings, "w") as f:
            json.dump(settings, f)

    def start(self):
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "SAVORYPITCH_BOOT": self.settings}
        self.process = subprocess.Popen([self.world.program, "serve-platform"], stdout=log, stderr=log,
                                        env=env, stdin=subprocess.DEVNULL)
        self.world.record.line("node %s starts" % self.name)

    def kill(self, sig=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(sig)
            if sig == signal.SIGKILL:
                self.process.wait()
        self.world.record.line("node %s gets signal %d" % (self.name, sig))


class World:
    def __init__(self, record_path, program, pools=("p",), attempts=3):
        # Ends the nodes as well if the script is ended.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = Record(record_path)
        self.program = program
        self.folder = tempfile.mkdtemp(prefix="savorypitch-review-")
        self.store = Store(self.record)
        self.checker = Checker(self)
        self.workers, self.workers_by_id, self.nodes = [], {}, []
        self.stop_time, self.gang_timeout = 0.9, 3.0
        self.attempts = attempts
        self.checkpoints = {}
        self.advisor = Advisor(self)
        self.config, self.configs = None, []
        self.fail = lambda unit, r: False
        self.lost_runs = []     # (unit, run) that ended with their executor

    # what the executors need to know of the units that clients have sent
    def needs(self, unit):
        job, k, s, i = self.checker.parse(unit)
        j = self.checker.jobs.get(job)
        if not j:
            return None
        step = j["steps"][s]
        return {"cpu": step["cpu"], "work": step.get("estimateMs", 500) / 1000, "lasts": bool(step.get("longRunning")),
                "gang": step["count"] if step.get("gang") else 0, "saves": bool(step.get("checkpointing")),
                "advice": any(r["name"] == j["queue"] and r.get("advice") for r in self.config["routes"])}

    def outcome(self, unit, r):
        return "failed" if self.fail(unit, r) else "done"

    def gang_members(self, unit, run):
        prefix = unit.rsplit(".", 1)[0] + "."
        return [(o, r) for o in self.workers if o.up for u, r in o.running.items()
                if u.startswith(prefix) and r["run"] == run]

    def new_checkpoint(self, unit, done):
        c = "%08x%08x" % (int(done * 1e6), random.getrandbits(32))
        self.checkpoints[c] = (unit, done)
        return c

    def checkpoint_progress(self, c):
        return self.checkpoints[c][1] if c in self.checkpoints else 0.0

    def is_checkpoint_of(self, c, unit, gang):
        if c not in self.checkpoints:
            return False
        owner = self.checkpoints[c][0]
        return owner == unit or (gang and owner.rsplit(".", 1)[0] == unit.rsplit(".", 1)[0])

    def pools_of(self, queue):
        return {r["service"] for c in self.configs for r in c["routes"] if r["name"] == queue}

    def quota_max(self):
        recent = [q for at, q in self.quotas if at > now() - 7.0] + [self.quotas[-1][1]] if self.quotas else []
        return 0 if not recent or 0 in recent else max(recent)

    quotas = []

    def put_config(self, config):
        self.config = config
        self.configs.append(config)
        self.store.put("op", "config", config)
        cpu = config["tenants"][0]["upperBound"]["cpu"]
        if self.quotas and self.quotas[-1][1] != cpu:
            self.quotas.append((now(), self.quotas[-1][1]))
        self.quotas.append((now(), cpu))
        self.record.line("config %d" % config["version"])

    async def cloud(self, method, path, query, headers, body):
        if path == "/v1/machines":
            return 200, {"machines": [
                {"machine": o.machine, "pool": o.pool, "state": "up" if o.up else "down", "zone": o.zone,
                 "labels": o.labels, "capacity": o.capacity, "id": o.id} for o in self.workers], "nextToken": None}
        return 409, {"reason": "busy"}

    async def start(self, nodes=3):
        self.cloud_server = HttpServer(self.cloud)
        self.cloud_port = await self.cloud_server.start()
        self.advisor_port = await self.advisor.server.start()
        for n in range(nodes):
            node = Node(self, "n%d" % n)
            await node.prepare()
            self.nodes.append(node)
        asyncio.ensure_future(self.ticks())
        asyncio.ensure_future(self.beats())

    def add_worker(self, pool="p", **kw):
        o = Worker(self, len(self.workers), pool, **kw)
        self.workers.append(o)
        self.workers_by_id[o.id] = o
        return o

    async def ticks(self):
        last = now()
        while True:
            await asyncio.sleep(0.01)
            t = now()
            for o in self.workers:
                o.tick(t - last)
            last = t

    async def beats(self):
        while True:
            await asyncio.sleep(1.5)
            for o in self.workers:
                if o.up:
                    o.beat()

    async def call(self, node, method, path, body=None, key="k1", host="q.example", timeout=3.0):
        """One call of a client; returns (status, object), or (None, why)."""
        async def go():
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            try:
                data = b"" if body is None else json.dumps(body).encode()
                head = "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline: %d\r\nConnection: close\r\n" % (method, path, host, int(timeout * 1000))
                if key:
                    head += "Authorization: Bearer %s\r\n" % key
                if data:
                    head += "Content-Type: application/json\r\nContent-Length: %d\r\n" % len(data)
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
                answer = await reader.read()
                head, _, rest = answer.partition(b"\r\n\r\n")
                if not head:
                    return None, "closed"
                return int(head.split(b" ")[1]), (json.loads(rest) if rest else None)
            finally:
                writer.transport.abort()
        try:
            status, value = await asyncio.wait_for(go(), timeout)
        except (asyncio.TimeoutError, OSError, ValueError) as error:
            status, value = None, repr(error)
        self.record.line("client %s %s at %s -> %s %s" % (method, path, node.name, status, json.dumps(value)[:120]))
        return status, value

    async def submit(self, job, queue, prefix, tries=12, body=None, **kw):
        """Hands a job in as a client does: again, at another node, until it is accepted."""
        self.checker.jobs[job] = dict(body, queue=queue)
        for step in self.checker.jobs[job]["steps"]:
            step.setdefault("cpu", 0)
        only_rejected = True
        for n in range(tries):
            node = random.choice(self.nodes)
            status, _ = await self.call(node, "POST", prefix + job, body, **kw)
            if status and 200 <= status < 300:
                self.checker.jobs[job]["accepted"] = now()
                return True
            only_rejected = only_rejected and status in (429, 503)
            await asyncio.sleep(random.uniform(0.2, 1.0))
        self.checker.jobs[job]["rejected"] = only_rejected
        return False

    async def cancel(self, job, prefix, tries=12, **kw):
        self.checker.jobs[job]["cancel_sent"] = now()
        for n in range(tries):
            status, _ = await self.call(random.choice(self.nodes), "DELETE", prefix + job, **kw)
            if status and (200 <= status < 300 or status == 410):
                self.checker.jobs[job]["cancelled"] = now()
                return True
            await asyncio.sleep(random.uniform(0.2, 0.8))
        return False

    async def state(self, job, prefix, tries=6, **kw):
        for n in range(tries):
            status, value = await self.call(random.choice(self.nodes), "GET", prefix + job, **kw)
            if status == 200:
                return value["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.4)
        return None

    async def wait_ready(self, seconds=20):
        until = now() + seconds
        while now() < until:
            ok = 0
            for node in self.nodes:
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, node.ready), 1)
                    writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    answer = await asyncio.wait_for(reader.read(), 1)
                    ok += b" 200 " in answer[:20]
                    writer.transport.abort()
                except (OSError, asyncio.TimeoutError):
                    pass
            if ok == len(self.nodes):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop_all(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
