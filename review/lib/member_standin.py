"""Stand-in of a database service: a primary and replicas that speak the wire protocol.

A line ends with CR LF, as PROTOCOL.md says. A commit reaches the replicas over the network and is
applied there after `lag_s`. Statements of one connection run in order.
"""

import asyncio
import time

HEARTBEAT_S = 0.4
HANDSHAKE_S = 0.012     # time of a slot for a new connection
QUEUE = 40              # statements that wait for a slot
CONNECTION_LIMIT = 32   # of one member, from all callers


class Member:
    def __init__(self, group, ident, zone):
        self.group, self.id, self.zone = group, ident, zone
        self.role, self.term = "replica", group.term
        self.log = []          # (term, number, item, data, time received)
        self.is_dark = False   # silent: nothing gets in or out
        self.is_deaf = False   # its links to the other members are cut
        self.slots = asyncio.Semaphore(group.slots) if group.slots else None
        self.waiting, self.connections = 0, 0
        self.awake = asyncio.Event()
        self.awake.set()
        self.port = 0

    def set_dark(self, is_dark):
        self.is_dark = is_dark
        (self.awake.clear if is_dark else self.awake.set)()

    def applied(self):
        if self.role == "primary":
            return self.log
        now = time.monotonic()
        return [entry for entry in self.log if entry[4] + self.group.lag_s <= now]

    def received_position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.group.first_term}.0"

    def position(self):
        applied = self.applied()
        return f"{applied[-1][0]}.{applied[-1][1]}" if applied else f"{self.group.first_term}.0"

    def read(self, item):
        return next((entry[3] for entry in reversed(self.applied()) if entry[2] == item), "none")

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 21)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        session = Session(self)
        self.connections += 1
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                await self.awake.wait()
                reply, closes = await session.handle(line)
                await self.awake.wait()
                writer.write(reply)
                await writer.drain()
                if closes:
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            writer.close()


class Session:
    def __init__(self, member):
        self.member, self.group = member, member.group
        self.tenant, self.is_open = None, False
        self.values, self.prepared = {}, {}
        self.transaction, self.reads_only, self.failed = None, False, False

    def _ready(self):
        state = "E" if self.failed else "T" if self.transaction is not None else "I"
        return f"READY {state} {self.member.position()}\r\n"

    async def handle(self, line):
        word, _, rest = line.partition(" ")
        if word == "STARTUP" and not self.is_open:
            service, _, rest = rest.partition(" ")
            self.tenant, _, ident = rest.partition(" ")
            if service != self.group.name or (ident and ident != self.member.id):
                return b"ERROR MISROUTED another member\r\n", True
            if self.member.slots and self.member.connections > CONNECTION_LIMIT:
                return b"ERROR TOOMANY connections\r\n", True
            if not await self._occupy(HANDSHAKE_S):
                return b"ERROR BUSY\r\n", True
            self.is_open = True
            return self._ready().encode(), False
        if word != "QUERY" or not self.is_open:
            return b"", True
        ident, _, text = rest.partition(" ")
        code, rows = await self._run_in_slot(ident, text)
        if code:
            self.failed = self.failed or self.transaction is not None
            body = f"ERROR {code} {self.member.id}\r\n"
        else:
            body = rows + (f"COMPLETE sig.{self.member.id}.{ident}\r\n" if ident != "-" else
                           "COMPLETE -\r\n")
        reply = (body + self._ready()).encode()
        if self.group.cut_reply:
            return self.group.cut_reply(self.member, ident, text, reply)
        return reply, False

    async def _run_in_slot(self, ident, text):
        """Runs a statement in a slot. What finds too many waiting gets BUSY."""
        if not await self._occupy(self.group.work_s):
            return "BUSY", ""
        return self._run(ident, text)

    async def _occupy(self, seconds):
        member = self.member
        if member.slots is None:
            await asyncio.sleep(seconds)
            return True
        if member.waiting >= QUEUE:
            return False
        member.waiting += 1
        async with member.slots:
            member.waiting -= 1
            await asyncio.sleep(seconds)
        return True

    def _run(self, ident, text):
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            wanted = tuple(int(number) for number in position.split("."))
            has = tuple(int(number) for number in self.member.position().split("."))
            if has < wanted:
                return "LAGGING", ""
        word, _, rest = text.partition(" ")
        member = self.member
        if self.failed and word != "ROLLBACK":
            return "MALFORMED", ""
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "RESET":
            self.values, self.prepared = {}, {}
        elif word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            self.prepared[name] = (mode, shape)
        elif word == "STATUS":
            return None, (f"DATAROW {member.role} {member.term} {member.received_position()} "
                          "0 0 0 1\r\n")
        elif word == "DEMOTE":
            if int(rest) > member.term:
                member.role, member.term = "replica", int(rest)
        elif word == "BEGIN":
            if rest != "READ" and member.role != "primary":
                return "READONLY", ""
            self.transaction, self.reads_only = [], rest == "READ"
        elif word == "ROLLBACK":
            self.transaction, self.reads_only, self.failed = None, False, False
        elif word == "COMMIT":
            writes, self.transaction, self.reads_only = self.transaction or [], None, False
            if writes and member.role != "primary":
                return "READONLY", ""
            self.group.note_run(member, self.tenant, ident, text)
            self.group.commit(member, ident, writes)
        elif word == "READ":
            return self._read(ident, text, rest)
        elif word == "WRITE":
            return self._write(ident, text, rest)
        elif word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in self.prepared:
                return "NOSTMT", ""
            run = self._write if self.prepared[name][0] == "WRITE" else self._read
            return run(ident, text, arguments)
        else:
            return "MALFORMED", ""
        return None, ""

    def _read(self, ident, text, item):
        self.group.reads[ident] = (self.member.id, {entry[:2] for entry in self.member.applied()})
        self.group.note_run(self.member, self.tenant, ident, text)
        own = [data for name, data in self.transaction or [] if name == item]
        return None, f"DATAROW {own[-1] if own else self.member.read(item)}\r\n"

    def _write(self, ident, text, rest):
        if self.member.role != "primary" or self.reads_only:
            return "READONLY", ""
        item, _, data = rest.partition(" ")
        self.group.note_run(self.member, self.tenant, ident, text)
        if self.transaction is None:
            self.group.commit(self.member, ident, [(item, data)])
        else:
            self.transaction.append((item, data))
        return None, ""


class Group:
    """A service. Its first member begins as the primary."""

    def __init__(self, store, name, zones, record, lag_s=0.02, promote_s=0.6, work_s=0.004,
                 first_number=0, slots=0):
        self.store, self.name, self.record = store, name, record
        self.slots = slots
        self.lag_s, self.promote_s, self.work_s = lag_s, promote_s, work_s
        self.first_term = self.term = 3
        self.number = first_number
        self.cut_reply = None
        self.runs, self.commits, self.promotions, self.reads = [], [], [], {}
        self.members = [Member(self, f"i-{name}-{index}", zone) for index, zone in enumerate(zones)]
        self.members[0].role = "primary"
        store.groups[name] = self

    async def start(self):
        for member in self.members:
            await member.start()
            asyncio.create_task(self._heartbeat(member))
        asyncio.create_task(self._watch_successor())

    async def _heartbeat(self, member):
        sequence = 0
        while True:
            sequence += 1
            if not member.is_dark:
                await self.store.put("servers", member.id, {
                    "service": self.name, "address": f"127.0.0.1:{member.port}",
                    "zone": member.zone, "version": "v1", "slots": 5, "state": "ready",
                    "coldRemainingMs": 0, "sequence": sequence, "born": 1700000000000,
                    "databaseRole": member.role})
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_successor(self):
        """A primary of an earlier term follows a second after it can reach the new one."""
        while True:
            await asyncio.sleep(0.05)
            leader = max((m for m in self.members if m.role == "primary"), key=lambda m: m.term)
            for member in self.members:
                is_old = member.role == "primary" and member.term < leader.term
                if is_old and not member.is_dark and not leader.is_dark:
                    await asyncio.sleep(1)
                    if member.term < leader.term:
                        member.role, member.term = "replica", leader.term
                        member.log = list(leader.log)
                        self.record(f"{member.id} follows {leader.id}, term {leader.term}")

    def note_run(self, member, tenant, ident, text):
        self.runs.append((member.id, tenant, ident, text))
        shown = text if len(text) <= 120 else f"{text[:100]}... ({len(text)} bytes)"
        self.record(f"run at {member.id} ({member.role}, term {member.term}) for {tenant}: "
                    f"{ident} {shown!r}")

    def commit(self, member, ident, writes):
        if not writes:
            return
        self.number += 1
        now = time.monotonic()
        for item, data in writes:
            member.log.append((member.term, self.number, item, data, now))
            for other in self.members:
                reachable = not (other.is_dark or member.is_dark or other.is_deaf
                                 or member.is_deaf)
                if other is not member and other.role == "replica" and reachable:
                    other.log.append((member.term, self.number, item, data, now))
        self.commits.append((now, member.id, member.term, self.number, ident))

    def promote(self, ident):
        member = next((member for member in self.members if member.id == ident), None)
        if member is None or member.is_dark:
            return False
        if member.role != "primary":
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, member)
        return True

    def _lead(self, member):
        if member.role == "primary":
            return
        self.term += 1
        member.role, member.term = "primary", self.term
        self.promotions.append((time.monotonic(), member.id, self.term))
        self.record(f"{member.id} leads, term {self.term}, log up to {member.received_position()}")
