"""Stand-in of the users' platform: the metadata store and the promotion call."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

MAX_ROWS = 500


class Store:
    """Rows with versions, as PROTOCOL.md describes them. Only the empty part is used."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.started = time.monotonic()
        self.changed = asyncio.Condition()
        self.groups = {}
        self.on_promotion = None
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, table, key, body):
        self._write(table, key, base64.b64encode(json.dumps(body).encode()).decode(), self._next())
        await self._notify()

    def value(self, table, key):
        row = self.rows.get((table, key))
        return json.loads(base64.b64decode(row["value"])) if row and row["value"] else None

    def _next(self):
        self.version += 1
        return self.version

    def _write(self, table, key, value, version):
        self.rows[(table, key)] = {"table": table, "part": "", "key": key, "value": value,
                                   "rowVersion": version, "removed": value is None}

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _body(self, rows, has_more=False):
        return {"rows": rows, "hasMore": has_more, "rowVersion": self.version,
                "nowMs": int((time.monotonic() - self.started) * 1000)}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {name.strip().lower(): value.strip() for name, value in
                           (line.split(":", 1) for line in head[1:] if ":" in line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, reply = await self._call(method, target, headers, body)
                data = json.dumps(reply).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match method, url.path:
            case "POST", "/rows-tx":
                return await self._transact(json.loads(body))
            case "GET", "/rows-get":
                return self._read(query)
            case "GET", "/rows-feed":
                return await self._follow(query)
            case "POST", "/promotion":
                return await self._promote(json.loads(body), headers)
        return 404, {}

    def _current(self, entry):
        row = self.rows.get((entry["table"], entry["key"]))
        return row if row and row["value"] is not None else None

    async def _transact(self, body):
        await asyncio.sleep(0.003)
        versions = [(self._current(entry) or {}).get("rowVersion", 0) for entry in body["expected"]]
        if any(version != entry["rowVersion"]
               for version, entry in zip(versions, body["expected"])):
            rows = [row for entry in body["expected"] if (row := self._current(entry))]
            return 412, self._body(rows)
        version = self._next()
        for entry in body.get("writes", []):
            self._write(entry["table"], entry["key"], entry["value"], version)
        for entry in body.get("remove", []):
            self._write(entry["table"], entry["key"], None, version)
        await self._notify()
        return 200, self._body([])

    def _read(self, query):
        low, high = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = sorted((row for (table, key), row in self.rows.items()
                       if table == query["table"] and row["value"] is not None
                       and key >= low and (high is None or key < high)),
                      key=lambda row: row["key"].encode())
        return 200, self._body(rows[:limit], len(rows) > limit)

    async def _follow(self, query):
        after = int(query.get("after", 0))
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = sorted((row for (table, _), row in self.rows.items()
                           if table == query["table"] and row["rowVersion"] > after),
                          key=lambda row: row["rowVersion"])
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self._body(rows)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _promote(self, body, headers):
        group = self.groups.get(body["service"])
        if self.on_promotion:
            self.on_promotion(body, headers)
        done = group is not None and group.promote(body["id"])
        return (200 if done else 409), {}
