"""What the cases in testsuite/ share: a deployment with one service, load, and
the verdict by the invariant checks."""

import json
import sys
import threading
import urllib.parse

import checks
import deployment

SERVICE = "board"
RECORD = {"prefix": "/board", "key": "path:2", "customer": "header:Customer",
          "slots": 64, "retention_s": 600, "default_deadline_ms": 5000,
          "max_queue_ms": 2000}
UPSTREAM_OPTIONS = ("--slots", "4", "--service-ms", "2", "--distribution",
                    "exponential")


def load_config(seconds, rate=200, late_ms=700, write_share=0.5,
                keyed_share=0.5, keys=100):
    """Two customers, one larger than the other, reading and writing."""
    return f"""
[run]
rate = {rate}
seconds = {seconds}
timeout_ms = 4000
late_ms = {late_ms}
patience_ms = 10000

[service {SERVICE}]
prefix = /board
keys = {keys}
zipf = 0.8
write_share = {write_share}
keyed_share = {keyed_share}

[customer association]
share = 4

[customer desk]
share = 1
"""


def expect(condition, text):
    if not condition:
        raise deployment.Failure(text)
    print(f"  as it must be: {text}", flush=True)


def start(trial, upstreams=4, hosts=3, options=UPSTREAM_OPTIONS, record=None,
          **host_options):
    """Starts hosts, submits the service, starts its upstreams, and waits until
    they own all of it. Returns the record's revision."""
    trial.add_hosts(hosts, **host_options)
    revision = trial.submit("service", SERVICE, {**RECORD, **(record or {})})
    trial.add_upstreams(SERVICE, upstreams, *options)
    trial.wait_until_owned(SERVICE)
    return revision


class Answer:
    """A caller's answer."""

    def __init__(self, answer):
        self.reached = answer is not None
        self.status, self.headers, self.body = answer or (0, {}, b"")
        self.outcome = self.headers.get("Rattandyke-Outcome", "")
        self.code = self.headers.get("Rattandyke-Code", "")

    def __str__(self):
        return f"{self.status} {self.outcome} {self.code}".strip()


def send(host, key, method="POST", load_id="", idempotency_key="", body="b",
         timeout_s=20, customer="desk", deadline_ms=None):
    """Sends one request as a caller does."""
    headers = {"Customer": customer, "Load-Request": load_id}
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    if deadline_ms:
        headers["Rattandyke-Deadline-Ms"] = str(deadline_ms)
    return Answer(deployment.call(
        host.callers, method, "/board/" + urllib.parse.quote(key, safe=""),
        body if method != "GET" else None, headers, timeout_s))


class Sending(threading.Thread):
    """A request that is under way beside the case; join() and look at
    `answer`."""

    def __init__(self, host, key, **arguments):
        super().__init__(daemon=True)
        self.answer = None
        self._send = lambda: send(host, key, **arguments)
        self.start()

    def run(self):
        self.answer = self._send()

    def result(self):
        self.join(deployment.PATIENCE_S)
        expect(not self.is_alive(), "the request was answered at all")
        return self.answer


def evidence(trial):
    return checks.Evidence(
        [upstream.record for upstream in trial.upstreams],
        [load.requests for load in trial.loads], trial.record_ends)


def runs_of(trial, load_id):
    """Runs that the upstreams recorded for one request."""
    return [run for run in evidence(trial).runs if run.load_id == load_id]


def wait_for_run(trial, load_id):
    """Waits until a request runs at an upstream; returns that upstream."""
    def upstream():
        for run in runs_of(trial, load_id):
            for candidate in trial.upstreams:
                if candidate.name == run.life.upstream:
                    return candidate
        return None
    return deployment.wait_for(f"{load_id} to run", upstream)


def record_is(trial, kind, name, revision):
    """Waits until the record stands at the revision, whichever living host is
    asked, and each of them routes by a table that has it."""
    quoted = urllib.parse.quote(name, safe="")

    def in_force():
        asked = trial.living()
        records = [trial.record(kind, quoted, host) for host in asked]
        if not all(record and int(record["revision"]) == revision
                   for record in records):
            return False
        answer = deployment.call_json(asked[0].admin, "GET",
                                      f"/v1/in-force?revision={revision}")
        routing = {line["host"] for line in (answer or {}).get("hosts", [])
                   if line["in_force"]}
        return routing >= {host.name for host in asked}
    deployment.wait_for(f"{kind} {name} at revision {revision} everywhere",
                        in_force)
    print(f"  as it must be: {kind} {name} is in force at revision "
          f"{revision} on every host", flush=True)


def main(case):
    """Runs a case with the folder of binaries from the command line, then the
    invariant checks. Ends the process: 0 passed, 1 failed."""
    try:
        with deployment.Deployment(sys.argv[1], "--keep" in sys.argv) as trial:
            case(trial)
            if trial.loads:
                for load in trial.loads:
                    summary = load.finish()
                    print(json.dumps(summary["all"]))
                    expect(summary["all"]["answered"] > 0, "requests answered")
            held = checks.report(evidence(trial).checks())
    except deployment.Failure as failure:
        print(f"FAILED: {failure}")
        sys.exit(1)
    print("passed" if held else "FAILED: an invariant was broken")
    sys.exit(0 if held else 1)


