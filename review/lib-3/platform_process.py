"""Stand-in of the platform: its metadata store, and the service that decides which workers may run
a step. It follows PROTOCOL.md. Workers register, and the operator writes, through the paths
/standin/..., which the system under test does not know.

    python3 platform_process.py ADDRESS ADVICE_ADDRESS
"""

import asyncio
import base64
import hashlib
import json
import sys
import time

from wire import serve

HEARTBEAT_S = 1.5
ANSWER_S = 0.004
ADVICE_VALID_MS = 2000
VALUE_BYTES = 1048576


class Store:
    def __init__(self):
        self.items = {}    # key -> (value as base64 text, revision, created, lease)
        self.history = []  # events
        self.revision = 1
        self.leases = {}   # id -> [end, ttl in seconds]
        self.last_lease = 100
        self.changed = asyncio.Event()

    def event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": value, "revision": revision, "created": created,
                "lease": lease}

    def write(self, key, value, lease):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.event(self.item(key))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.event({"key": key, "revision": self.revision, "removed": True})

    def put(self, key, value):
        """A write of the operator or of a worker."""
        self.revision += 1
        self.write(key, base64.b64encode(value.encode()).decode(), 0)

    def end_lease(self, lease):
        del self.leases[lease]
        self.revision += 1
        for key in [k for k, entry in self.items.items() if entry[3] == lease]:
            self.delete(key)

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
            self.end_lease(lease)

    def transact(self, body):
        expected = body.get("expected", [])
        for condition in expected:
            entry = self.items.get(condition["key"])
            if (entry[1] if entry else 0) != condition["revision"]:
                return 412, {"items": [self.item(c["key"]) for c in expected
                                       if c["key"] in self.items]}
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if (len(expected) + len(puts) + len(deletes) > 32 or
                any(len(put["value"]) * 3 // 4 > VALUE_BYTES for put in puts)):
            return 400, {}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self.write(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self.delete(key)
        return 200, {"revision": self.revision}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(ANSWER_S)
        self.expire()
        name = path.removeprefix("/verbenalever/")
        if name == "kv-txn":
            return self.transact(body)
        if name == "kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"currentRev": self.revision}
            return 200, self.item(key) | {"currentRev": self.revision}
        if name == "kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key][0]) * 3 // 4
                if page and size > 1 << 20:
                    break
                page.append(key)
            return 200, {"items": [self.item(k) for k in page], "hasMore": len(keys) > len(page),
                         "currentRev": self.revision}
        if name == "kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        if name == "kv-lease":
            self.last_lease += 1
            ttl = max(1000, body["ttlMs"])
            self.leases[self.last_lease] = [time.monotonic() + ttl / 1000, ttl / 1000]
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
            return 200, {"ttlMs": int(self.leases[lease][1] * 1000)}
        if name.startswith("kv-lease-end/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 404, {}


class Platform:
    def __init__(self):
        self.store = Store()
        self.seen = {}     # id of a worker -> time of its last report
        self.advised = []  # what was asked and granted
        self.idle = {}     # caller of the advice service -> lock: one call at a time

    async def handle(self, method, path, query, headers, body):
        if path == "/standin/register":
            self.seen[body["id"]] = time.monotonic()
            self.store.put(f"servers/{body['id']}", json.dumps(body["entry"]))
            return 200, {}
        if path == "/standin/leave":
            if self.seen.pop(body["id"], None):
                self.store.revision += 1
                self.store.delete(f"servers/{body['id']}")
            return 200, {}
        if path == "/standin/operator":
            self.store.put(body["key"], json.dumps(body["value"]))
            return 200, {"revision": self.store.revision}
        if path == "/standin/advised":
            return 200, self.advised
        return await self.store.handle(method, path, query, headers, body)

    async def advise(self, method, path, query, headers, body):
        """Every worker may run every step, and the answer for a step never changes."""
        await asyncio.sleep(0.005 + 0.0002 * len(body["workers"]))
        granted = [[worker, ticket_of(worker, body["step"])] for worker in body["workers"]]
        self.advised.append([time.time(), body["step"], body["workers"]])
        return 200, {"granted": granted, "validMs": ADVICE_VALID_MS}

    async def tick(self):
        while True:
            self.store.expire()
            now = time.monotonic()
            for worker in [w for w, at in self.seen.items() if now - at > 3 * HEARTBEAT_S]:
                del self.seen[worker]
                self.store.revision += 1
                self.store.delete(f"servers/{worker}")
            await asyncio.sleep(0.02)


def ticket_of(worker, step):
    return hashlib.sha256(f"{worker} {step}".encode()).hexdigest()[:16]


async def main():
    platform = Platform()
    servers = [await serve(sys.argv[1], platform.handle),
               await serve(sys.argv[2], platform.advise)]
    await platform.tick()
    del servers


if __name__ == "__main__":
    asyncio.run(main())
