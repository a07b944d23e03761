"""Invariant checks over the records of the stand-in upstreams and the load
driver. docs/TESTING.md describes the lines that are read here.

All times are nanoseconds of CLOCK_MONOTONIC on one machine.
"""

import argparse
import bisect
import collections
import dataclasses
import json
import math
import sys

EXAMPLES_SHOWN = 5


@dataclasses.dataclass
class Run:
    """One request that an upstream began to run."""

    life: "Life"
    service: str
    key: str
    slot: str
    fence: int
    request_id: str
    load_id: str
    attempt: int
    customer: str
    idempotency_key: str
    method: str
    start: int
    end: int | None = None
    how: str = "died"

    def __str__(self):
        return (f"attempt {self.attempt} at {self.life} under {self.fence} "
                f"from {self.start} ({self.how})")


@dataclasses.dataclass
class Life:
    """One process of an upstream, from its start to its end."""

    service: str
    upstream: str
    incarnation: int
    last_line: int
    # Only a killed process ends; one that lives on ends with its lease.
    ended: float = math.inf
    runs: list = dataclasses.field(default_factory=list)
    leases: list = dataclasses.field(default_factory=list)
    grants: list = dataclasses.field(default_factory=list)

    def __hash__(self):
        return id(self)

    def __str__(self):
        return f"{self.upstream}#{self.incarnation % 10000}"


@dataclasses.dataclass
class Check:
    """Outcome of one invariant: how often it was broken, and where."""

    name: str
    broken: int
    examples: list

    def line(self):
        verdict = "held" if self.broken == 0 else f"BROKEN {self.broken} times"
        return f"{self.name:<44} {verdict}"


def _json_lines(path):
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            # A process that is killed in the middle of a write leaves a last
            # line without its end; nothing follows from it.
            if line.endswith("\n"):
                yield json.loads(line)


def read_record(path):
    """Returns the lives that one upstream's record file holds."""
    lives = []
    open_runs = {}
    for line in _json_lines(path):
        event, now = line["event"], line["t"]
        if event == "up":
            open_runs = {}
            if lives:
                lives[-1].ended = lives[-1].last_line
            lives.append(Life(line["service"], line["upstream"],
                              line["incarnation"], now))
            continue
        life = lives[-1]
        life.last_line = now
        if event == "start":
            run = Run(life, line["service"], line["key"], line["slot"],
                      line["fence"], line["request_id"], line["load_id"],
                      line["load_attempt"], line["customer"],
                      line["idempotency_key"], line["method"], now)
            open_runs[line["run"]] = run
            life.runs.append(run)
        elif event == "end":
            run = open_runs.pop(line["run"])
            run.end, run.how = now, line["how"]
        elif event == "lease":
            life.leases.append((now, line["until"]))
        elif event == "grants":
            life.grants.append((now, line["slots"], line["keys"]))
    return lives


def _lease_periods(life):
    """Times in which the upstream knew that its lease lived, merged."""
    periods = []
    for since, until in life.leases:
        if periods and since <= periods[-1][1]:
            periods[-1][1] = max(periods[-1][1], until)
        elif until > since:
            periods.append([since, until])
    return periods


def _granted_periods(life):
    """Yields (slot, fence, since, until) of what the upstream was granted."""
    held = {}
    for now, slots, _ in life.grants:
        granted = {slot: fence for first, last, fence in slots
                   for slot in range(first, last + 1)}
        for slot, (fence, since) in list(held.items()):
            if granted.get(slot) != fence:
                yield slot, fence, since, now
                del held[slot]
        for slot, fence in granted.items():
            held.setdefault(slot, (fence, now))
    for slot, (fence, since) in held.items():
        yield slot, fence, since, None


def owned_periods(life):
    """Yields (slot, fence, since, until) in which the upstream would have run
    a request for the slot: granted, under a live lease, and not dead."""
    leases = _lease_periods(life)
    for slot, fence, since, until in _granted_periods(life):
        for lease_since, lease_until in leases:
            begin = max(since, lease_since)
            end = min(lease_until, life.ended if until is None else until)
            if begin < end:
                yield slot, fence, begin, end


def check_one_owner(service_lives):
    """At any moment, a slot has at most one owning upstream."""
    broken = []
    for service, lives in service_lives.items():
        by_slot = collections.defaultdict(list)
        for life in lives:
            for slot, fence, since, until in owned_periods(life):
                by_slot[slot].append((since, until, fence, life))
        for slot, periods in by_slot.items():
            periods.sort(key=lambda period: period[:3])
            latest = None
            for period in periods:
                if latest and period[0] < latest[1] and \
                        period[3] is not latest[3]:
                    broken.append(
                        f"{service} slot {slot}: {latest[3]} under fence "
                        f"{latest[2]} until {latest[1]}, {period[3]} under "
                        f"{period[2]} since {period[0]}: "
                        f"{(latest[1] - period[0]) / 1e6:.1f} ms together")
                if latest is None or period[1] > latest[1]:
                    latest = period
    return Check("at most one owner of a slot at any moment", len(broken),
                 broken)


def check_fences(runs):
    """The fences under which a key was run never go down."""
    broken = []
    by_key = collections.defaultdict(list)
    for run in runs:
        by_key[(run.service, run.key)].append(run)
    for (service, key), of_key in by_key.items():
        of_key.sort(key=lambda run: run.start)
        for before, after in zip(of_key, of_key[1:]):
            if after.fence < before.fence:
                broken.append(f"{service} {key}: {after.life} ran under "
                              f"{after.fence} after {before.life} under "
                              f"{before.fence}")
    return Check("fences of a key never go down", len(broken), broken)


def check_fence_has_one_holder(runs):
    """A fence of a slot was given to one process only."""
    holders = collections.defaultdict(set)
    for run in runs:
        holders[(run.service, run.slot, run.key, run.fence)].add(run.life)
    broken = [f"{where}: {', '.join(map(str, lives))}"
              for where, lives in holders.items() if len(lives) > 1]
    return Check("a fence is held by one process", len(broken), broken)


def check_no_overlap(runs):
    """No key is run at two upstreams at once. A run that goes on after its
    upstream's lease ended, since the process was paused, is not the grantor's
    fault and is counted by outlived_runs."""
    broken = []
    by_key = collections.defaultdict(list)
    for run in runs:
        by_key[(run.service, run.key)].append(run)
    for (service, key), of_key in by_key.items():
        of_key.sort(key=lambda run: run.start)
        for index, run in enumerate(of_key):
            end = run.end if run.end is not None else run.life.ended
            for later in of_key[index + 1:]:
                if later.start >= end:
                    break
                if later.life is not run.life and \
                        _has_lease(run.life, later.start):
                    broken.append(f"{service} {key}: {run.load_id} at "
                                  f"{run.life}, {later.load_id} at "
                                  f"{later.life}")
    return Check("no key runs at two upstreams at once", len(broken), broken)


def _has_lease(life, now):
    # Without leases, as in a baseline, nothing excuses a run's being there.
    return not life.leases or any(since <= now < until for since, until in _lease_periods(life))


def outlived_runs(runs):
    """Counts runs that ended after their upstream's lease."""
    periods = {}
    count = 0
    for run in runs:
        leases = periods.setdefault(run.life, _lease_periods(run.life))
        if run.end is not None and \
                not any(since <= run.end < until for since, until in leases):
            count += 1
    return count


def check_no_double_run(runs):
    """A non-idempotent request runs at most once, whoever sent it again."""
    by_request = collections.defaultdict(list)
    for run in runs:
        if run.method != "POST":
            continue
        if run.idempotency_key:
            name = (run.service, run.customer, run.idempotency_key)
        else:
            name = (run.service, run.customer, run.load_id)
        by_request[name].append(run)
    broken = [f"{name}: " + ", ".join(map(str, of_request))
              for name, of_request in by_request.items() if len(of_request) > 1]
    return Check("no non-idempotent request runs twice", len(broken), broken)


def check_not_run(runs, sendings):
    """What was answered with not-run did not run."""
    started = collections.defaultdict(list)
    for run in runs:
        started[(run.load_id, run.attempt)].append(run)
    broken = []
    for sending in sendings:
        if sending["result"] not in ("not-run", "unsent"):
            continue
        for run in started.get((sending["id"], sending["attempt"]), []):
            broken.append(f"{sending['id']} attempt {sending['attempt']} "
                          f"({sending['result']}, {sending['code']}) ran at "
                          f"{run.life} ({run.how})")
    return Check("nothing answered not-run has run", len(broken), broken)


def check_answers_ran(runs, sendings):
    """Each answer to a write is of a run that a record tells of: no record is
    missing."""
    started = {run.load_id for run in runs}
    broken = [sending["id"] for sending in sendings
              if sending["result"] == "answered"
              and sending["id"] not in started]
    return Check("each answer is of a recorded run", len(broken), broken)


def check_result(sendings, result, text):
    broken = [f"{sending['id']} key {sending['key']} from entry "
              f"{sending['entry']}" for sending in sendings
              if sending["result"] == result]
    return Check(text, len(broken), broken)


def keys_moved(runs):
    """Counts changes of the process that runs a key, over all keys."""
    last, moved = {}, 0
    for run in sorted(runs, key=lambda run: run.start):
        key = (run.service, run.key)
        if key in last and last[key] is not run.life:
            moved += 1
        last[key] = run.life
    return moved


class Evidence:
    """Everything that a trial left behind."""

    def __init__(self, record_files, request_files, ended=None):
        """ended: time at which a record's last process was killed, by file."""
        self.lives = []
        for path in record_files:
            lives = read_record(path)
            if lives and ended and str(path) in ended:
                lives[-1].ended = ended[str(path)]
            self.lives += lives
        self.runs = [run for life in self.lives for run in life.runs]
        self.sendings = [line for path in request_files
                         for line in _json_lines(path)]

    def _lives_by_service(self):
        services = collections.defaultdict(list)
        for life in self.lives:
            services[life.service].append(life)
        return services

    def checks(self):
        return [
            check_one_owner(self._lives_by_service()),
            check_no_overlap(self.runs),
            check_fences(self.runs),
            check_fence_has_one_holder(self.runs),
            check_no_double_run(self.runs),
            check_not_run(self.runs, self.sendings),
            check_answers_ran(self.runs, self.sendings),
            check_result(self.sendings, "crossed",
                         "no answer reached another caller"),
            check_result(self.sendings, "truncated-as-whole",
                         "no shortened answer looked whole"),
        ]


def report(checks, out=sys.stdout):
    """Prints the checks. Returns whether all held."""
    for check in checks:
        print(f"  {check.line()}", file=out)
        for example in check.examples[:EXAMPLES_SHOWN]:
            print(f"      {example}", file=out)
    return all(check.broken == 0 for check in checks)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--record", action="append", default=[],
                        help="an upstream's record file")
    parser.add_argument("--requests", action="append", default=[],
                        help="the load driver's requests file")
    arguments = parser.parse_args()
    evidence = Evidence(arguments.record, arguments.requests)
    return 0 if report(evidence.checks()) else 1


if __name__ == "__main__":
    sys.exit(main())
