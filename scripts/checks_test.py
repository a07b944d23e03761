#!/usr/bin/env python3
"""Tests of the invariant checks: each fault, put into the records by hand, is
found, and a trial without faults passes. A check that finds nothing would make
every end-to-end case green."""

import json
import pathlib
import tempfile
import unittest

import checks

MS = 1_000_000


class Record:
    """Writes an upstream's record file, line by line."""

    def __init__(self, folder, upstream):
        self.path = pathlib.Path(folder) / upstream
        self.lines = []
        self.runs = 0
        self.add("up", 0, service="board", upstream=upstream,
                 incarnation=len(upstream))

    def add(self, event, now_ms, **fields):
        self.lines.append({"event": event, "t": now_ms * MS, **fields})

    def lease(self, now_ms, until_ms):
        self.add("lease", now_ms, until=until_ms * MS)

    def grants(self, now_ms, *slots):
        self.add("grants", now_ms, version=1, slots=slots, keys=[])

    def run(self, start_ms, end_ms, load_id, fence=5, method="POST",
            idempotency_key="", attempt=0, key="unit-1"):
        self.runs += 1
        self.add("start", start_ms, run=self.runs, service="board", key=key,
                 slot="3", fence=fence, request_id=load_id, load_id=load_id,
                 load_attempt=attempt, customer="desk",
                 idempotency_key=idempotency_key, method=method)
        if end_ms is not None:
            self.add("end", end_ms, run=self.runs, how="answered")

    def write(self):
        self.path.write_text("".join(json.dumps(line) + "\n"
                                     for line in self.lines))
        return self.path


def sending(load_id, result, attempt=0):
    return {"id": load_id, "attempt": attempt, "entry": 0, "key": "unit-1",
            "result": result, "code": ""}


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.addCleanup(self.temporary.cleanup)
        self.first = Record(self.temporary.name, "a")
        self.second = Record(self.temporary.name, "bb")
        self.first.lease(0, 1000)
        self.second.lease(0, 5000)

    def broken(self, *sendings):
        """Names of the checks that find something."""
        requests = pathlib.Path(self.temporary.name) / "requests"
        requests.write_text("".join(json.dumps(line) + "\n"
                                    for line in sendings))
        evidence = checks.Evidence([self.first.write(), self.second.write()],
                                   [requests])
        return [check.name for check in evidence.checks() if check.broken]

    def test_clean_move_passes(self):
        # The first owner lets go and ends its run before the second begins.
        self.first.grants(1, [0, 9, 5])
        self.first.run(10, 20, "r1")
        self.first.grants(30, )
        self.second.grants(31, [0, 9, 8])
        self.second.run(40, 50, "r2", fence=8)
        self.assertEqual(self.broken(sending("r1", "answered"),
                                     sending("r2", "answered")), [])

    def test_two_owners_at_once(self):
        # The second is granted the slot while the first still holds it under
        # a live lease; no request happened to come at that time.
        self.first.grants(1, [0, 9, 5])
        self.second.grants(500, [3, 3, 8])
        self.first.lease(900, 1700)
        self.assertEqual(self.broken(),
                         ["at most one owner of a slot at any moment"])

    def test_owner_until_lease_ends(self):
        # The first was paused: its lease ended, then the second was granted
        # the slot; the first's late notice of the loss changes nothing.
        self.first.grants(1, [0, 9, 5])
        self.second.grants(1001, [0, 9, 8])
        self.first.grants(3000, )
        self.assertEqual(self.broken(), [])

    def test_runs_of_one_key_overlap(self):
        self.first.run(10, 100, "r1", fence=5)
        self.second.run(50, 60, "r2", fence=8)
        self.assertEqual(self.broken(),
                         ["no key runs at two upstreams at once"])

    def test_run_after_its_lease_is_counted_apart(self):
        # Paused in the middle of a run: it ends after the lease, beside the
        # next owner's. The next owner began after the lease, so it is right.
        self.first.run(10, 3000, "r1", fence=5)
        self.second.run(1500, 1600, "r2", fence=8)
        self.assertEqual(self.broken(), [])
        evidence = checks.Evidence([self.first.path], [])
        self.assertEqual(checks.outlived_runs(evidence.runs), 1)

    def test_fence_goes_down(self):
        self.second.run(10, 20, "r1", fence=8)
        self.first.run(30, 40, "r2", fence=5)
        self.assertEqual(self.broken(), ["fences of a key never go down"])

    def test_fence_with_two_holders(self):
        self.first.run(10, 20, "r1", fence=5)
        self.second.run(30, 40, "r2", fence=5)
        self.assertEqual(self.broken(), ["a fence is held by one process"])

    def test_write_runs_twice(self):
        # Once by the first sending, whose answer was lost, and once by the
        # second; the key of the resend should have stopped it.
        self.first.run(10, 20, "r1", idempotency_key="once")
        self.first.run(30, 40, "r1", idempotency_key="once", attempt=1)
        self.assertEqual(self.broken(),
                         ["no non-idempotent request runs twice"])

    def test_write_that_died_with_its_upstream_counts(self):
        self.first.run(10, None, "r1")
        self.first.run(30, 40, "r1", attempt=1)
        self.assertEqual(self.broken(),
                         ["no non-idempotent request runs twice"])

    def test_read_may_run_twice(self):
        self.first.run(10, 20, "r1", method="GET")
        self.first.run(30, 40, "r1", method="GET", attempt=1)
        self.assertEqual(self.broken(), [])

    def test_not_run_that_ran(self):
        self.first.run(10, None, "r1")
        self.assertEqual(self.broken(sending("r1", "not-run")),
                         ["nothing answered not-run has run"])

    def test_not_run_of_another_sending(self):
        # The first sending was refused and the second ran: both are right.
        self.first.run(10, 20, "r1", attempt=1)
        self.assertEqual(self.broken(sending("r1", "not-run"),
                                     sending("r1", "answered", 1)), [])

    def test_answer_without_a_run(self):
        self.assertEqual(self.broken(sending("r1", "answered")),
                         ["each answer is of a recorded run"])

    def test_crossed_and_truncated(self):
        self.assertEqual(self.broken(sending("r1", "crossed"),
                                     sending("r2", "truncated-as-whole")),
                         ["no answer reached another caller",
                          "no shortened answer looked whole"])

    def test_torn_last_line_is_left_out(self):
        self.first.run(10, 20, "r1")
        path = self.first.write()
        path.write_text(path.read_text() + '{"event":"sta')
        self.assertEqual(len(checks.read_record(path)[0].runs), 1)


if __name__ == "__main__":
    unittest.main()
