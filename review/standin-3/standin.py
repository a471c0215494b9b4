"""Stand-ins for a small deployment: the platform's store, the failover call, the members of
database groups, and clients of the line protocol. Everything runs in one asyncio loop; the
daemons under test are the project's own program, started as separate processes."""

import asyncio
import base64
import json
import os
import secrets
import signal
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/corianderwharf-entry"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the site kfr-entries.
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
GRACE_S = 6.0
DRAIN_S = 7.0

T0 = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - T0


class Record:
    """The file record.txt, in the folder of the case."""

    def __init__(self, case):
        self.file = open(Path(case) / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():9.4f} {text}\n")

    def say(self, text):
        self.line(text)
        self.file.flush()
        print(f"{now():9.4f} {text}", flush=True)


class StoreConn:
    """A connection of a daemon to the store."""

    is_silent = False


class Store:
    """The platform's store: rows with conditions, feeds, and an open connection for each caller."""

    def __init__(self, record):
        self.record = record
        self.ver = 0
        self.rows = {}  # (table, key) -> (value or None, ver)
        self.changed = asyncio.Event()
        self.conns = set()
        self.on_failover = None

    def put(self, table, key, value):
        """Writes a row as the operator or a member does; the return is the acknowledgement."""
        self.ver += 1
        data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, key)] = (data, self.ver)
        self._notify()
        return now()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table, key):
        value, ver = self.rows[(table, key)]
        row = {"table": table, "part": "", "key": key, "value": value, "ver": ver}
        if value is None:
            row["tombstone"] = True
        return row

    def _page(self, rows):
        return {"rows": rows, "more_pages": False, "ver": self.ver,
                "now_ms": int(now() * 1000) + 1000}

    def silence(self):
        """Open connections go silent for good, without a reset; new ones work."""
        count = 0
        for conn in list(self.conns):
            conn.is_silent = True
            count += 1
        return count

    async def serve(self, reader, writer):
        conn = StoreConn()
        self.conns.add(conn)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.lower(): v for k, v in
                           (line.split(": ", 1) for line in lines[1:] if ": " in line)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if conn.is_silent:
                    await asyncio.Future()
                status, answer = await self.answer(method, target, headers, body)
                if conn.is_silent:
                    await asyncio.Future()
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.conns.discard(conn)
            writer.close()

    async def answer(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if url.path == "/rows-get":
            table, low, high = query["table"], query.get("from", ""), query.get("target")
            keys = sorted(k for (t, k), (v, _) in self.rows.items()
                          if t == table and v is not None and k >= low
                          and (high is None or k < high))
            return 200, self._page([self._row(table, k) for k in keys])
        if url.path == "/rows-feed":
            table, after = query["table"], int(query["after"])
            end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while True:
                rows = sorted((ver, k) for (t, k), (_, ver) in self.rows.items()
                              if t == table and ver > after)
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self._page([self._row(table, k) for _, k in rows])
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/rows-tx":
            return self._transaction(json.loads(body))
        if url.path == "/failover":
            return self.on_failover(json.loads(body), headers)
        return 404, {}

    def _transaction(self, body):
        for it in body.get("expect", []):
            value, ver = self.rows.get((it["table"], it["key"]), (None, 0))
            if (ver if value is not None else 0) != it["ver"]:
                return 412, {"rows": []}
        self.ver += 1
        for it in body.get("set_keys", []):
            self.rows[(it["table"], it["key"])] = (it["value"], self.ver)
        for it in body.get("delete_keys", []):
            if (it["table"], it["key"]) in self.rows:
                self.rows[(it["table"], it["key"])] = (None, self.ver)
        self._notify()
        return 200, {"ver": self.ver}


class Group:
    """A database group: a primary and two replicas that apply its commits after a lag."""

    def __init__(self, service, lag_s=0.06, promote_s=0.6):
        self.service, self.lag_s, self.promote_s = service, lag_s, promote_s
        self.term = 1
        self.members = []

    @property
    def primary(self):
        return max((m for m in self.members if m.leads), key=lambda m: m.term, default=None)


class Member:
    """One member of a group, with a listener of its own."""

    def __init__(self, deployment, group, zone, leads):
        self.deployment, self.group, self.zone, self.leads = deployment, group, zone, leads
        self.id = "i-" + secrets.token_hex(4)
        self.term, self.number = 1, 0
        self.items, self.log = {}, []
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.work_s = 0.01
        self.slots = asyncio.Semaphore(5)
        self.runs = []  # (at, request id, text) of the statements that have run
        self.started = {}  # when the work on each request began
        group.members.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**21)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.write_entry()

    def write_entry(self):
        self.sequence += 1
        return self.deployment.store.put("servers", self.id, {
            "service": self.group.service, "addr": self.addr, "zone": self.zone, "version": "v1",
            "capacity": 5, "state": self.state, "warmup_left_ms": 0, "sequence": self.sequence,
            "born": self.born, "db_role": "primary" if self.leads else "replica"})

    def position(self):
        return (self.term, self.number)

    def ready(self, state):
        return "READY %s %d.%d\r\n" % (state, *self.position())

    async def serve(self, reader, writer):
        try:
            words = (await reader.readline()).decode().rstrip("\r\n").split(" ")
            if words[0] != "STARTUP" or words[1] != self.group.service or \
                    (len(words) > 3 and words[3] != self.id):
                writer.write(b"ERROR MISROUTED -\r\n")
                return
            writer.write(self.ready("I").encode())
            names, tx = {}, None
            while True:
                line = (await reader.readline()).decode()
                if not line.endswith("\r\n"):
                    return
                word, _, rest = line[:-2].partition(" ")
                if word == "QUIT":
                    return
                request, _, text = rest.partition(" ")
                answer, tx = await self.query(request, text, names, tx)
                state = "I" if tx is None else "T"
                writer.write((answer + self.ready(state)).encode())
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def query(self, request, text, names, tx):
        plain = text
        if text.startswith("AFTER "):
            _, position, plain = text.split(" ", 2)
            if tuple(map(int, position.split("."))) > self.position():
                return "ERROR LAGGING %s\r\n" % self.id, tx
        word, _, rest = plain.partition(" ")
        done = "COMPLETE -\r\n"
        if word == "STATUS" or word == "STEPDOWN":
            if word == "STEPDOWN" and self.leads and self.term < int(rest):
                self.leads = False
                self.write_entry()
            role = "primary" if self.leads else "replica"
            return "ROW %s %d %d.%d 0 0 0 1\r\n" % (role, self.term, *self.position()) + done, tx
        if word == "RESET":
            names.clear()
            return done, None
        if word == "SET":
            return done, tx
        if word == "PREPARE":
            name, verb, _ = (rest + " ").split(" ", 2)
            names[name] = verb
            return done, tx
        if word == "BEGIN":
            if rest != "FETCH" and not self.leads:
                return "ERROR READONLY %s\r\n" % self.id, tx
            return done, []
        if word == "ROLLBACK":
            return done, None
        verb = names.get(rest.split(" ")[0]) if word == "EXECUTE" else word
        if verb is None:
            return "ERROR NOSTMT %s\r\n" % self.id, tx
        if word == "EXECUTE":
            rest = rest.partition(" ")[2]
        async with self.slots:
            self.started[request] = now()
            await asyncio.sleep(self.work_s)
        writes = verb == "STORE" or (word == "COMMIT" and tx)
        if writes and not self.leads:
            return "ERROR READONLY %s\r\n" % self.id, tx
        rows = ""
        if verb == "FETCH":
            rows = "ROW %s\r\n" % self.items.get(rest, "")
        elif verb == "STORE":
            item, _, data = rest.partition(" ")
            if tx is None:
                self.commit({item: data})
            else:
                tx.append((item, data))
        elif word == "COMMIT":
            if tx:
                self.commit(dict(tx))
            tx = None
        self.runs.append((now(), request, plain))
        self.deployment.record.line(f"run {self.group.service} {self.id} {request} {plain}")
        return rows + "COMPLETE %s.%s\r\n" % (self.id, secrets.token_hex(4)), tx

    def commit(self, items):
        self.number += 1
        self.items.update(items)
        loop = asyncio.get_running_loop()
        for other in self.group.members:
            if other is not self and not other.leads:
                loop.call_later(self.group.lag_s, other.apply, self.term, self.number, items)

    def apply(self, term, number, items):
        if not self.leads and (term, number) > self.position():
            self.term, self.number = term, number
            self.items.update(items)


class Daemon:
    """A process of the program under test, with a settings file in a temporary folder."""

    def __init__(self, deployment, index, zone):
        self.deployment, self.index, self.zone = deployment, index, zone
        self.name = f"edge-{zone}-{index}"
        self.ip = f"127.{deployment.net}.0.{index + 1}"
        self.process = None
        self.grace_s = GRACE_S
        self.settings = Path(deployment.folder) / f"{self.name}.toml"

    def write_settings(self):
        zones = "".join(f'{zone} = "kyushu"\n' for zone in self.deployment.zones)
        self.settings.write_text(f"""node_name = "{self.name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "kyushu"
port_range = [7440, 7455]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entrypoint = "vip"
heartbeat_ms = 1200
invariants = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
{zones}[listen]
frontend = "{self.ip}:8784"
readiness = "{self.ip}:8785"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4300
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
nodes = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 7000
grace_s = {self.grace_s:g}
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
recovery_s = 12
fencing = false
unfreeze_ms = 300
[platform]
addr = "{self.deployment.store_addr}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[cloud_api]
addr = "{self.deployment.store_addr}"
rate_per_s = 50.0
duties = ["promote"]
duty_per_s = 50.0
""")

    async def start(self):
        self.write_settings()
        log = open(Path(self.deployment.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "CORIANDERWHARF_NODE_FILE": str(self.settings)})
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8785)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A session of a client with one daemon."""

    def __init__(self, daemon, database):
        self.daemon, self.database = daemon, database
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.daemon.ip, 8784)
        self.writer.write(f"STARTUP {self.database} u{secrets.token_hex(2)}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            self.close()
            return line.decode().strip() or "closed"
        return "READY"

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def query(self, text, timeout=4.0, request=None):
        """Sends a statement; returns its id, when its last byte was sent, and the answer."""
        request = request or secrets.token_hex(8)
        self.daemon.deployment.record.line(
            f"sent {self.daemon.name} {self.database} {request} {text}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        sent = now()
        lines = []
        try:
            async with asyncio.timeout(timeout):
                while True:
                    line = await self.reader.readline()
                    if not line.endswith(b"\r\n"):
                        lines.append("CLOSED")
                        break
                    lines.append(line.decode().rstrip("\r\n"))
                    if line.startswith(b"READY"):
                        break
        except (asyncio.TimeoutError, ConnectionError) as error:
            lines.append("TIMEOUT" if isinstance(error, asyncio.TimeoutError) else "RESET")
        self.daemon.deployment.record.line(f"answered {request} {' | '.join(lines)}")
        return request, sent, lines


class Deployment:
    """A small deployment: 6 daemons and 9 members in 3 zones, as on the sheet of kfr-entries."""

    zones = ["kyushu-a", "kyushu-b", "kyushu-c"]

    def __init__(self, case, services=3):
        self.record = Record(case)
        self.folder = tempfile.mkdtemp(prefix="review-")
        # Any free network of loopback addresses.
        self.net = 20 + secrets.randbelow(200)
        self.store = Store(self.record)
        self.store.on_failover = self.fail_over
        self.services = [f"db{index}" for index in range(services)]
        self.groups = [Group(service) for service in self.services]
        self.version = 0
        self.routes = {}
        self.daemons = []
        self.promotions = []

    async def start(self):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_addr = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        for group in self.groups:
            for number, zone in enumerate(self.zones):
                await Member(self, group, zone, number == 0).start()

    def route(self, database, service, kind, **extra):
        self.routes[database] = {
            "name": f"r-{database}", "host": database, "service": service, "kind": kind,
            "timeout_ms": 1000, "target_latency_ms": 400, "priority": 1,
            "max_staleness_ms": 2500, **extra}

    def configure(self):
        """The operator writes a new version of the configuration."""
        self.version += 1 + secrets.randbelow(9)
        at = self.store.put("op", "config", {
            "version": self.version, "routes": list(self.routes.values()),
            "services": [{"name": s, "max_conns": 50, "sync_replicas": 0}
                         for s in self.services],
            "limits": {"tx_idle_ms": 3000}})
        self.record.say(f"configuration {self.version} acknowledged, databases "
                        + ",".join(self.routes))
        return at

    def fail_over(self, body, headers):
        group = next((g for g in self.groups if g.service == body["service"]), None)
        member = next((m for m in group.members if m.id == body["id"]), None) if group else None
        if member is None or member.server is None:
            return 409, {}
        self.record.say(f"failover {body} by {headers.get('x-corianderwharf-lease-holder')}"
                        f" fence {headers.get('x-corianderwharf-fence-token')}")
        self.promotions.append((now(), member))
        if member is not group.primary:
            asyncio.get_running_loop().call_later(group.promote_s, self.promote, group, member)
        return 200, {}

    def promote(self, group, member):
        old = group.primary
        group.term += 1
        member.leads, member.term = True, group.term
        member.write_entry()
        self.record.say(f"promoted {member.id} of {group.service}, term {group.term}")
        if old is not None and old is not member:
            asyncio.get_running_loop().call_later(1.0, self.demote, old, member)

    def demote(self, old, new):
        if old.leads and old.term < new.term:
            old.leads = False
            old.term, old.number, old.items = new.term, new.number, dict(new.items)
            old.write_entry()

    async def start_daemons(self, zones=("kyushu-a",) * 3 + ("kyushu-b",) * 2 + ("kyushu-c",)):
        for index, zone in enumerate(zones):
            self.daemons.append(Daemon(self, index, zone))
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        end = now() + 25
        while not all(await asyncio.gather(*(daemon.is_ready() for daemon in self.daemons))):
            if now() > end:
                raise RuntimeError("not all daemons became ready")
            await asyncio.sleep(0.2)
        self.record.say(f"{len(self.daemons)} daemons are ready")

    async def stop(self):
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()


def main(case, run):
    """Runs a case: `run(deployment)` returns whether the rule held. Exits with 0, 1 or 2."""

    async def body():
        deployment = Deployment(case)
        task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await deployment.start()
            async with asyncio.timeout(110):
                held = await run(deployment)
            deployment.record.say("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:  # The case could not run.
            deployment.record.say(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await deployment.stop()
            deployment.record.file.close()

    if not PROGRAM.exists():
        print("the program is not built")
        sys.exit(2)
    loop = asyncio.new_event_loop()
    status = loop.run_until_complete(body())
    sys.stdout.flush()
    # The tasks of open connections need not be ended one by one.
    os._exit(status)
