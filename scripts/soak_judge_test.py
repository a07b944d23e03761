#!/usr/bin/env python3
"""Tests of the soak's judge: each way in which a request may end without an
answer is allowed, and each other one is found."""

import collections
import unittest

from soak_judge import (Arrival, Life, QUEUE, Sent, SlotWatch, Spans, is_late,
                        is_lost, retries_broken, served_share, starved,
                        unanswered)


def life(*events):
    whole = Life()
    for at, what in events:
        whole.add(at, what)
    return whole


def sent(**fields):
    """A request that was sent whole at 10 s on a connection of 9 s."""
    return Sent(**{"request": "1-1", "shape": "plain", "opened": 9.0,
                   "asked": 9.5, "began": 10.0, "whole": 10.0, **fields})


def arrived(**fields):
    return [Arrival(**{"at": 10.01, "upstream": "i-1", **fields})]


class JudgeTest(unittest.TestCase):
    def judge(self, ended, *events, arrivals=(), held_up=(), **fields):
        return unanswered(sent(**fields), ended, life(*events), arrivals,
                          held_up)

    def assert_broken(self, verdict, word):
        self.assertTrue(verdict[0], verdict)
        self.assertIn(word, verdict[1])

    def assert_allowed(self, verdict, word):
        self.assertEqual(verdict, (False, word))

    def test_closed_on_a_new_connection(self):
        # Nothing was done to the entry: at once or not, there is no reason.
        self.assert_broken(self.judge(10.01), "no reason")

    def test_killed(self):
        self.assert_allowed(self.judge(10.5, (10.4, "kill")), "killed")

    def test_killed_before_the_connection_was_opened(self):
        self.assert_broken(self.judge(10.01, (8, "kill"), (8.5, "start")),
                           "no reason")

    def test_connected_to_an_entry_that_was_killed(self):
        self.assert_allowed(self.judge(10.01, (8, "start"), (8.999, "kill")),
                            "killed")

    def test_passed_on(self):
        self.assert_broken(self.judge(10.02, arrivals=arrived()), "i-1")

    def test_passed_on_after_sigterm(self):
        self.assert_broken(
            self.judge(10.02, (9.5, "term"), arrivals=arrived()), "i-1")

    def test_passed_on_and_killed(self):
        self.assert_allowed(
            self.judge(10.02, (10.015, "kill"), arrivals=arrived()), "killed")

    def test_caller_stood_still(self):
        self.assert_allowed(self.judge(13.0, arrivals=arrived(),
                                       held_up=[(10.2, 12.9)]),
                            "the caller stood still")
        self.assert_broken(self.judge(13.0, arrivals=arrived(),
                                      held_up=[(10.2, 12.6)]), "i-1")
        self.assert_broken(self.judge(13.0, arrivals=arrived(),
                                      held_up=[(6.0, 9.9)]), "i-1")

    def test_upstream_broke_off(self):
        self.assert_allowed(
            self.judge(10.02, arrivals=arrived(broke_off=True)),
            "upstream broke off")

    def test_one_of_two_upstreams_broke_off(self):
        both = arrived(broke_off=True) + arrived(upstream="i-2")
        self.assert_broken(self.judge(10.02, arrivals=both), "i-2")

    def test_crossed_the_end_of_a_process(self):
        self.assert_allowed(self.judge(10.05, (9.5, "term")),
                            "crossed the end")

    def test_whole_at_an_entry_that_ends(self):
        self.assert_broken(self.judge(10.25, (9.5, "term")), "running entry")

    def test_sigterm_long_before(self):
        # Of the process before: this one was told nothing.
        self.assert_broken(self.judge(10.05, (7, "term"), (8, "start")),
                           "no reason")

    def test_connected_to_an_entry_that_ends(self):
        self.assert_allowed(self.judge(10.05, (7, "start"), (8, "term")),
                            "crossed the end")

    def test_behind_an_answer_that_said_close(self):
        self.assert_allowed(
            self.judge(10.3, kept=True, behind=10.29, told_close=True),
            "crossed the end")

    def test_behind_an_answer_that_said_nothing(self):
        self.assert_broken(self.judge(10.3, kept=True, behind=10.29),
                           "no reason")

    def test_crossed_the_idle_limit(self):
        old = {"kept": True, "idle": 1.3, "idle_limit": 1.5}
        self.assert_allowed(self.judge(10.05, **old),
                            "crossed the idle limit")
        self.assert_broken(self.judge(10.15, **old), "no reason")
        self.assert_broken(self.judge(10.05, arrivals=arrived(), **old), "i-1")

    def test_idle_for_less_than_the_limit(self):
        self.assert_broken(
            self.judge(10.05, kept=True, idle=1.0, idle_limit=1.5),
            "no reason")

    def test_cut_while_it_was_sent(self):
        self.assert_broken(self.judge(10.05, whole=None), "cut")
        self.assert_allowed(self.judge(10.05, (9.5, "term"), whole=None),
                            "cut while it was sent")

    def test_cut_while_it_was_sent_too_slowly(self):
        # The soak was held up in the midst of it, for longer than the limit.
        slow = {"whole": None, "idle_limit": 1.5}
        self.assert_broken(self.judge(11.4, **slow), "cut")
        self.assert_allowed(self.judge(11.6, **slow), "cut while it was sent")

    def test_slow_after_idle_is_not_idle(self):
        # Idle and sending are together beyond the limit, neither is alone.
        self.assert_broken(self.judge(10.6, kept=True, idle=1.1, whole=None,
                                      idle_limit=1.5), "cut")

    def test_answer_was_seen_late(self):
        # The answer before lay unread from 9.5 s on: idle since then.
        old = {"kept": True, "idle": 0.03, "asked": 8.0, "idle_limit": 1.5}
        late = [(8.4, 9.9)]
        self.assert_allowed(self.judge(10.05, held_up=late, **old),
                            "crossed the idle limit")
        self.assert_allowed(
            self.judge(10.05, held_up=late, **{**old, "whole": None}),
            "cut while it was sent")
        self.assert_broken(self.judge(10.05, held_up=[(7, 8)], **old),
                           "no reason")
        self.assert_broken(
            self.judge(10.05, held_up=late, **{**old, "kept": False}),
            "no reason")

    def test_pause_does_not_count(self):
        # Paused from 9.9 to 13 s, and SIGTERM then: it had 50 ms to read.
        events = [(9.9, "stop"), (13, "cont"), (13.01, "term")]
        self.assert_allowed(self.judge(13.05, *events), "crossed the end")
        self.assert_broken(self.judge(13.25, *events), "running entry")

    def test_pause_is_no_reason(self):
        self.assert_broken(self.judge(13.01, (9.9, "stop"), (13, "cont")),
                           "no reason")

    def test_own_delay_does_not_count(self):
        # The soak saw nothing from 10.02 to 10.3 s.
        self.assert_allowed(
            self.judge(10.3, (9.5, "term"), held_up=[(10.02, 10.3)]),
            "crossed the end")


class LateTest(unittest.TestCase):
    def test_late(self):
        self.assertFalse(is_late(sent(), 12.4, life(), []))
        self.assertTrue(is_late(sent(), 12.6, life(), []))

    def test_paused(self):
        paused = life((10.5, "stop"), (11.5, "cont"))
        self.assertFalse(is_late(sent(), 13.4, paused, []))
        self.assertTrue(is_late(sent(), 13.6, paused, []))

    def test_still_paused(self):
        self.assertFalse(is_late(sent(), 20, life((10.5, "stop")), []))

    def test_killed(self):
        self.assertFalse(is_late(sent(), 20, life((10.5, "kill")), []))

    def test_not_whole(self):
        self.assertFalse(is_late(sent(whole=None), 20, life(), []))

    def test_behind_another(self):
        self.assertFalse(is_late(sent(behind=11.0), 13.4, life(), []))
        self.assertTrue(is_late(sent(behind=11.0), 13.6, life(), []))


class LostTest(unittest.TestCase):
    def lost(self, ended, *events, status=504, held_up=(), **fields):
        found = arrived(**{"ran": True, "answered": 10.05, **fields})
        return is_lost(status, ended, found, life(*events), held_up)

    def test_ready_answer(self):
        self.assertTrue(self.lost(10.3))
        self.assertTrue(self.lost(10.3, status=502))
        self.assertFalse(self.lost(10.3, status=200))

    def test_answer_on_its_way(self):
        self.assertFalse(self.lost(10.2))
        self.assertFalse(self.lost(12.0, answered=None))

    def test_answer_that_is_none(self):
        # The upstream refused it, or crashed in the midst of its answer.
        self.assertFalse(self.lost(10.3, ran=False))
        self.assertFalse(self.lost(10.3, broke_off=True))

    def test_entry_or_soak_stood_still(self):
        self.assertFalse(self.lost(13.1, (10.1, "stop"), (13.0, "cont")))
        self.assertTrue(self.lost(13.3, (10.1, "stop"), (13.0, "cont")))
        self.assertFalse(self.lost(13.1, held_up=[(10.1, 13.0)]))


class SlotWatchTest(unittest.TestCase):
    def test_slots_and_queue(self):
        watch = SlotWatch(2)
        self.assertFalse(any(watch.enter() for _ in range(2 + QUEUE)))
        self.assertTrue(watch.enter())
        watch.leave()
        watch.leave()
        self.assertFalse(watch.enter())


class RetriesTest(unittest.TestCase):
    def broken(self, once, twice, entry_starts=1):
        attempts = [1] * once + [2] * twice + [0]
        return retries_broken({str(number): arrived() * count for number, count
                               in enumerate(attempts)}, entry_starts)

    def test_budget_of_all_entries(self):
        # A fifth of 1,000 requests, 10 of each service, and 7.5 at a start.
        self.assertEqual(self.broken(773, 227), [])
        self.assertIn("228 retries", self.broken(772, 228)[0])
        self.assertEqual(self.broken(772, 228, entry_starts=2), [])

    def test_attempts_of_a_request(self):
        self.assertIn("came to upstreams 3 times",
                      retries_broken({"1-1": arrived() * 3}, 1)[0])


class StarvedTest(unittest.TestCase):
    def test_starved(self):
        answers = {("GET", 200): 50, ("GET", 503): 50,
                   ("POST", 200): 49, ("POST", 503): 51}
        self.assertEqual(starved(answers), ["POST"])
        self.assertEqual(starved({("GET", 503): 1}), ["GET"])
        self.assertEqual(starved({}), [])


class ServedShareTest(unittest.TestCase):
    def test_calls_that_are_no_request(self):
        """Guards against a run that fails as proper refusals count as losses."""
        counts = collections.Counter({
            "200": 90, "503": 8, "unanswered": 1, "no connection": 1,
            "malformed": 30, "malformed without an end": 2,
            "endless ended": 4, "endless given up": 4})
        self.assertAlmostEqual(served_share(counts), 0.9)
        self.assertEqual(served_share(collections.Counter()), 0)


class SpansTest(unittest.TestCase):
    def test_overlapping_spans_count_once(self):
        spans = Spans([(3, 5), (1, 4), (4.5, 6), (9, 12)])
        self.assertAlmostEqual(spans.counted(0, 10), 1 + 3)
        self.assertAlmostEqual(spans.counted(2, 5.5), 0)
        self.assertAlmostEqual(spans.counted(7, 8), 1)
        self.assertAlmostEqual(spans.counted(8, 7), 0)
        self.assertAlmostEqual(spans.lost(0, 10), 6)
        self.assertAlmostEqual(spans.lost(8, 7), 0)


class ArrivalTest(unittest.TestCase):
    def test_crash(self):
        under_way, answered, old = arrived()[0], arrived()[0], arrived()[0]
        answered.answered, old.answered = 10.02, 9.0
        for arrival in (under_way, answered, old):
            arrival.crash(10.03)
        self.assertTrue(under_way.broke_off)
        self.assertTrue(answered.broke_off)
        self.assertFalse(old.broke_off)


if __name__ == "__main__":
    unittest.main()
