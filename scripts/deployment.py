"""Starts hosts and stand-in upstreams on loopback for the demo, the end-to-end
cases and the benches, and ends every process that it started."""

import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time

POLL_S = 0.02
# Generous: nothing that is waited for should come near it, and a machine that
# is busy with other work must not turn a right result into a failure.
PATIENCE_S = 60
# A port at which nobody listens, for upstreams that are to have no host.
NOBODY = 1


class Failure(Exception):
    """Something that was waited for did not come, or a process ended."""


def wait_for(what, condition, patience_s=PATIENCE_S):
    """Polls until the condition returns something true, and returns that."""
    limit = time.monotonic() + patience_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > limit:
            raise Failure(f"gave up after {patience_s} s waiting for {what}")
        time.sleep(POLL_S)


def free_port():
    """Returns a port of 127.0.0.1 that the kernel picked.

    The port is left in TIME_WAIT: for a minute the kernel gives it to nobody
    who asks for any port, while a server that names it can bind it. Otherwise
    another process could get it before the server that it is meant for."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.socket())
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        client = stack.enter_context(socket.socket())
        client.connect(server.getsockname())
        accepted, _ = server.accept()
        accepted.close()
        return server.getsockname()[1]


def call(port, method, path, body=None, headers=None, timeout_s=5):
    """One HTTP exchange. Returns (status, headers, body), or None if the
    server cannot be reached or breaks off."""
    connection = http.client.HTTPConnection("127.0.0.1", port,
                                            timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def call_json(port, method, path, body=None, headers=None):
    """As call, for a JSON answer 200. Returns None for any other."""
    answer = call(port, method, path, body, headers)
    if answer is None or answer[0] != 200:
        return None
    return json.loads(answer[2])


class Process:
    """A child process with its output in a file."""

    def __init__(self, arguments, output, cwd):
        self.arguments = [str(argument) for argument in arguments]
        self.output = output
        with open(output, "ab") as file:
            self.child = subprocess.Popen(self.arguments, stdout=file,
                                          stderr=file, cwd=cwd,
                                          stdin=subprocess.DEVNULL)

    @property
    def pid(self):
        return self.child.pid

    def alive(self):
        return self.child.poll() is None

    def signal(self, number):
        self.child.send_signal(number)

    def wait(self, patience_s=PATIENCE_S):
        """Returns the exit code."""
        try:
            return self.child.wait(patience_s)
        except subprocess.TimeoutExpired:
            raise Failure(f"{self.arguments[0]} did not end within "
                          f"{patience_s} s") from None

    def end(self):
        """Ends the process for certain, also a stopped one."""
        if self.alive():
            self.child.kill()
        self.child.wait()


class Host:
    """One `rattandyke serve`, with its settings and data folder."""

    def __init__(self, deployment, name, data_centre, roles):
        self.deployment = deployment
        self.name = name
        self.data_centre = data_centre
        self.roles = roles
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.callers, self.upstreams, self.admin, self.peers = (
            free_port() for _ in range(4))
        self.settings = self.folder / "settings.ini"
        self.data = self.folder / "data"
        self.binary = deployment.bin / "rattandyke"
        self.process = None
        self.killed_at = None

    def write_settings(self, hosts, extra=""):
        peers = "\n".join(f"{host.name} = 127.0.0.1:{host.peers}"
                          for host in hosts if host is not self)
        control = ", ".join(host.name for host in hosts
                            if "control" in host.roles)
        self.settings.write_text(
            f"[host]\nname = {self.name}\ndata_centre = {self.data_centre}\n"
            f"roles = {self.roles}\ndata_folder = {self.data}\n\n"
            f"[listen]\ncallers = 127.0.0.1:{self.callers}\n"
            f"upstreams = 127.0.0.1:{self.upstreams}\n"
            f"admin = 127.0.0.1:{self.admin}\n"
            f"peers = 127.0.0.1:{self.peers}\n\n"
            f"[hosts]\n{peers}\n\n[control]\nhosts = {control}\n{extra}\n",
            encoding="utf-8")

    def start(self):
        self.process = Process(
            [self.binary, "serve", "--settings", self.settings],
            self.folder / "output", self.folder)

    def status(self):
        return call_json(self.admin, "GET", "/v1/status")

    def wait_until_up(self):
        def up():
            if not self.process.alive():
                raise Failure(f"{self.name} ended:\n{self.last_output()}")
            return self.status()
        return wait_for(f"{self.name} to answer its operators", up)

    def kill(self):
        self.process.signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self):
        self.process.signal(signal.SIGTERM)

    def last_output(self, lines=15):
        output = self.folder / "output"
        text = output.read_text(errors="replace") if output.exists() else ""
        return "\n".join(text.splitlines()[-lines:])


class Upstream:
    """One stand-in upstream and its record file."""

    def __init__(self, deployment, service, name, data_centre, options,
                 announce):
        self.deployment = deployment
        self.service = service
        self.name = name
        self.data_centre = data_centre
        self.options = options
        self.announce = announce
        self.record = deployment.folder / f"{service}.{name}.record"
        self.output = deployment.folder / f"{service}.{name}.output"
        self.process = None
        self.port = free_port()

    def start(self):
        if self.output.exists():
            self.output.unlink()
        ports = [host.upstreams for host in self.deployment.hosts]
        if not self.announce:
            ports = [NOBODY]
        hosts = [argument for port in ports
                 for argument in ("--host", f"127.0.0.1:{port}")]
        self.process = Process(
            [self.deployment.bin / "rattandyke-upstream", "--service",
             self.service, "--name", self.name, "--data-centre",
             self.data_centre, "--record", self.record, "--listen",
             f"127.0.0.1:{self.port}", *hosts, *self.options], self.output,
            self.deployment.folder)
        wait_for(f"{self.name} to listen", self._listens)

    def _listens(self):
        if not self.process.alive():
            raise Failure(f"{self.name} ended:\n{self.output.read_text()}")
        return "listening " in self.output.read_text()

    def set_mode(self, **modes):
        answer = call(self.port, "POST", "/-/mode", json.dumps(modes))
        if answer is None or answer[0] != 200:
            raise Failure(f"{self.name} did not take the mode {modes}")

    def kill(self):
        self.process.signal(signal.SIGKILL)
        self.process.wait()
        self.deployment.record_ends[str(self.record)] = time.monotonic_ns()


class Deployment:
    """Hosts, upstreams and a folder of their own. Use as a context manager:
    on the way out every process is ended by its id and the folder removed."""

    def __init__(self, bin_folder, keep=False):
        self.bin = pathlib.Path(bin_folder).resolve()
        self.keep = keep
        self.hosts = []
        self.upstreams = []
        self.loads = []
        # When a record's last process was killed, by file.
        self.record_ends = {}

    def __enter__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rattandyke-"))
        return self

    def __exit__(self, kind, failure, trace):
        if kind is not None:
            self._show_ends()
        for part in self.hosts + self.upstreams:
            if part.process is not None:
                part.process.end()
        for load in self.loads:
            load.process.end()
        if self.keep:
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _show_ends(self):
        """What the hosts wrote last, for whoever looks into a failure."""
        for host in self.hosts:
            state = "lives" if host.process and host.process.alive() else "ended"
            print(f"--- {host.name} ({state}):\n{host.last_output()}")

    def add_hosts(self, count=3, centres=3, roles="entry, control", extra="",
                  control=None):
        """Starts hosts in data centres dc-1 to dc-N. The first `control` of
        them, or all, are control hosts."""
        for index in range(count):
            has_disk = control is None or index < control
            self.hosts.append(
                Host(self, f"host-{index + 1}", f"dc-{index % centres + 1}",
                     roles if has_disk else "entry"))
        for host in self.hosts:
            host.write_settings(self.hosts, extra)
            host.start()
        for host in self.hosts:
            host.wait_until_up()
        self.wait_for_leader()

    def living(self):
        return [host for host in self.hosts
                if host.process is not None and host.process.alive()]

    def leader(self, hosts=None):
        """The host that the given ones, or all living ones, take for the
        leader, if they agree on one of them."""
        hosts = hosts or self.living()
        names = set()
        for host in hosts:
            status = host.status()
            names.add(status.get("leader") if status else None)
        if len(names) == 1:
            for host in hosts:
                if host.name in names:
                    return host
        return None

    def wait_for_leader(self, hosts=None):
        return wait_for("a leader that the hosts agree on",
                        lambda: self.leader(hosts))

    def command(self, *arguments, host=None):
        """Runs one of the operator's commands. Returns the finished process."""
        host = host or self.living()[0]
        return subprocess.run(
            [str(self.bin / "rattandyke"), *map(str, arguments), "--host",
             f"127.0.0.1:{host.admin}"], capture_output=True, text=True,
            timeout=PATIENCE_S, check=False, cwd=self.folder)

    def submit(self, kind, name, body, host=None):
        """Submits a record with `rattandyke submit`; returns its revision."""
        file = self.folder / f"{kind}.{name.replace('/', '.')}.json"
        file.write_text(json.dumps({"kind": kind, "name": name,
                                    "schema_version": 1, "body": body}))
        done = self.command("submit", file, "--json", host=host)
        if done.returncode != 0:
            raise Failure(f"submit: exit {done.returncode}\n{done.stdout}"
                          f"{done.stderr}")
        return int(json.loads(done.stdout)["revision"])

    def record(self, kind, name, host=None):
        """Reads a record back, or None."""
        host = host or self.living()[0]
        return call_json(host.admin, "GET", f"/v1/records/{kind}/{name}")

    def list(self, what, query="", host=None):
        """All items of a list of the operators' API, or None."""
        host = host or self.living()[0]
        items, after = [], None
        while True:
            more = f"&after={after}" if after is not None else ""
            page = call_json(host.admin, "GET",
                             f"/v1/{what}?limit=1000{query}{more}")
            if page is None:
                return None
            items += page["items"]
            after = page.get("next")
            if after is None:
                return items

    def add_upstreams(self, service, count, *options, first=1, announce=True):
        """Starts upstreams SERVICE-first and so on. Returns them."""
        added = []
        for index in range(first, first + count):
            upstream = Upstream(self, service, f"{service}-{index}",
                                f"dc-{(index - 1) % 3 + 1}", options, announce)
            self.upstreams.append(upstream)
            upstream.start()
            added.append(upstream)
        return added

    def wait_until_owned(self, service, upstreams=None, host=None):
        """Waits until each slot of the service has an owner among the given
        upstreams, and each of these owns something."""
        names = {upstream.name for upstream in upstreams or self.upstreams
                 if upstream.service == service}

        def owned():
            owners = self.list("owners", f"&service={service}", host=host)
            if not owners:
                return False
            holders = {owner.get("upstream") for owner in owners}
            return holders == names
        wait_for(f"every slot of {service} to have an owner", owned)

    def start_load(self, config, name="load", entries=None, routing="entries",
                   upstreams=None):
        """Starts the load driver against the entries, all living ones if none
        are named, or against the upstreams if another routing is asked for."""
        if routing != "entries":
            targets = [f"{upstream.service}=127.0.0.1:{upstream.port}"
                       for upstream in upstreams or self.upstreams]
        else:
            targets = [f"127.0.0.1:{host.callers}"
                       for host in entries or self.living()]
        load = Load(self, config, name, routing, targets)
        self.loads.append(load)
        return load


class Load:
    """One run of the load driver."""

    def __init__(self, deployment, config, name, routing, targets):
        self.folder = deployment.folder
        self.summary_file = self.folder / f"{name}.summary.json"
        self.requests = self.folder / f"{name}.requests"
        self.output = self.folder / f"{name}.output"
        config_file = self.folder / f"{name}.ini"
        config_file.write_text(config)
        entries = [argument for target in targets
                   for argument in ("--entry", target)]
        self.process = Process(
            [deployment.bin / "rattandyke-load", "--config", config_file,
             "--name", name, "--routing", routing, "--summary", self.summary_file, "--requests",
             self.requests, *entries], self.output, self.folder)

    def answered(self):
        """Requests answered so far, from the driver's progress line."""
        lines = [line for line in
                 self.output.read_text(errors="replace").splitlines()
                 if line.startswith("t=")]
        return int(lines[-1].split("answered ")[1].split()[0]) if lines else 0

    def wait_for_answers(self, more):
        """Waits until so many more requests are answered."""
        wanted = self.answered() + more

        def enough():
            if not self.process.alive():
                raise Failure(f"the load ended before {wanted} answers:\n"
                              + self.output.read_text())
            return self.answered() >= wanted
        wait_for(f"{more} more answers", enough)

    def finish(self):
        """Waits for the end and returns the summary."""
        code = self.process.wait(PATIENCE_S * 10)
        if code != 0:
            raise Failure(f"the load driver failed:\n{self.output.read_text()}")
        return json.loads(self.summary_file.read_text())

    def table(self):
        """What the driver printed after its progress lines."""
        return self.output.read_text().split("\n\n", 1)[1]
