"""A small deployment on loopback: the program of the deploy file, and stand-ins around it."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from member_standin import Group
from platform_standin import Store

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "release" / "tanagerdeal"
ZONES = ["zone-a", "zone-b", "zone-c"]
KEY = "u6wsjnbanfqasnmgkcuy"
START_LIMIT_S = 30
SHOWN = 5
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """A free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(20000, 32000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


def configuration(version, service):
    routes = [{"name": f"r-{host}", "host": host, "prefix": "/", "kind": kind, "timeoutMs": 1000,
               "targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 2,
               "maxStalenessMs": staleness, "publicAccess": False}
              for host, kind, staleness in (("orders", "primary", 0),
                                            ("stock", "bounded_staleness", 1500),
                                            ("dispatch", "read_your_writes", 2500))]
    return {"version": version, "routes": routes,
            "services": [{"name": service, "healthCheckPath": "/health", "connectionLimit": 32,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
                          "syncReplicas": 0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "transactionIdleMs": 3000},
            "tenants": [{"name": "nypu920", "apiKeys": [KEY], "priority": 1, "ratePerS": 2000,
                         "burstSize": 2000}]}


class Host:
    def __init__(self, directory, index, store_port):
        self.zone = ZONES[index % len(ZONES)]
        self.name = f"front-{self.zone}-{index}"
        self.port, self.ready_port = free_port(), free_port()
        self.log = directory / f"{self.name}.log"
        # The lines of deploy/host.ini, with the bounds of a small site.
        settings = (
            f"[host]\nname = {self.name}\ndomain = {self.zone}\ndomains = {','.join(ZONES)}\n"
            f"[listen]\ncallers = 127.0.0.1:{self.port}\nadmin = 127.0.0.1:{self.ready_port}\n"
            f"peers = 127.0.0.1:{free_port()}\nforwarding = 127.0.0.1:{free_port()}\n"
            f"[platform]\nstore = 127.0.0.1:{store_port}\ncontrol = 127.0.0.1:{store_port}\n"
            "[limits]\nshutdown_s = 6\ndescriptors = 4300\nlink_mbps = 1000.0\nprocessor = 0.25\n"
            "rate_overage = 0.1\nrate_window_s = 5\nrate_slack = 20\nconfig_apply_ms = 3000\n"
            "drain_ms = 7000\n"
            "[duties]\nlease_ms = \nusage_window_s = \nusage_late_s = \n")
        file = directory / f"{self.name}.ini"
        file.write_text(settings)
        self.command = [str(PROGRAM), "serve", "--config", str(file)]
        self.process = None
        self.restart()

    def restart(self):
        """Starts the process, after the former one has ended."""
        if self.process:
            self.process.wait()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=subprocess.STDOUT)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A session. `query` returns (rows, signature, failure, state)."""

    def __init__(self, deployment):
        self.deployment, self.record = deployment, deployment.record

    @classmethod
    async def open(cls, deployment, host, database):
        client = cls(deployment)
        client.reader, client.writer = await asyncio.open_connection(
            "127.0.0.1", host.port, limit=1 << 21)
        client.writer.write(f"STARTUP {database} {KEY}\r\n".encode())
        line = await client._line()
        if not line.startswith("READY I"):
            raise RuntimeError(f"session refused: {line}")
        return client

    async def _line(self):
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 10)
        return line[:-2].decode()

    async def query(self, text, ident=None):
        ident = ident or self.deployment.next_id()
        self.deployment.sent[ident] = text
        self.record(f"sent: {ident} {text!r}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        rows, signature, failure = [], None, None
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                failure = rest
            elif word == "READY":
                self.record(f"answered: {ident} rows={rows} signature={signature} "
                            f"failure={failure} state={rest}")
                return rows, signature, failure, rest[:1]

    def close(self):
        self.writer.close()


class Deployment:
    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w")
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.hosts, self.sent, self.ids = [], {}, 0
        self.processes = []

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
        self.file.flush()

    def next_id(self):
        self.ids += 1
        return f"{self.ids:08x}{random.getrandbits(32):08x}"

    async def start(self, hosts=3, **group):
        if not PROGRAM.exists():
            raise RuntimeError("target/release/tanagerdeal is not built")
        self.store = Store()
        await self.store.start()
        self.group = Group(self.store, "huvo11a", ZONES, self.record, **group)
        await self.group.start()
        await self.store.put("op", "config", configuration(7, "huvo11a"))
        self.hosts = [Host(self.directory, index, self.store.port) for index in range(hosts)]
        end = time.monotonic() + START_LIMIT_S
        while not all([await host.is_ready() for host in self.hosts]):
            if time.monotonic() > end:
                raise RuntimeError("the hosts are not ready in time")
            await asyncio.sleep(0.1)
        self.record(f"{hosts} hosts are ready")

    def stop(self):
        for process in [host.process for host in self.hosts] + self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, scenario, **settings):
    """Runs a scenario, which returns the violations that it has seen, and exits with the result."""
    async def run():
        deployment = Deployment(Path(folder))
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                await deployment.start(**settings)
                violations = await scenario(deployment)
            for violation in violations:
                deployment.record(f"VIOLATION: {violation}")
            for violation in violations[:SHOWN]:
                print(violation)
            print(f"{len(violations)} violations")
            deployment.record(f"{len(violations)} violations")
            return BROKEN if violations else HELD
        except Exception as error:  # Anything else means that the case could not run.
            deployment.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
        except asyncio.CancelledError:
            return COULD_NOT_RUN
        finally:
            deployment.stop()
    sys.exit(asyncio.run(run()))
