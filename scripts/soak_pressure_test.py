#!/usr/bin/env python3
"""Tests of the soak's judge of limits, rests and leaving."""

import unittest

from soak_pressure import Pressure


class LimitTest(unittest.TestCase):
    def setUp(self):
        self.pressure = Pressure()
        self.pressure.limit(10.0, 1)
        for entry in ("a", "b"):
            self.pressure.answers(entry, 10.1, False)

    def broken(self, begin, count, gap, entry="a"):
        return [text for number in range(count) for text in
                self.pressure.arrives(entry, begin + number * gap, 0.0)]

    def test_more_than_allowed_of_all_entries(self):
        self.assertEqual(self.broken(13.0, 6, 0.1, "a"), [])
        self.assertEqual(self.broken(13.7, 5, 0.1, "b"), [])
        self.assertIn("got 12 requests", self.broken(14.3, 1, 0, "b")[0])

    def test_binds_after_a_time(self):
        self.assertEqual(self.broken(10.6, 24, 0.1), [])

    def test_an_entry_that_was_not_told(self):
        self.assertEqual(self.broken(13.0, 30, 0.1, "c"), [])

    def test_an_entry_that_was_disturbed(self):
        self.pressure.disturbed("a")
        self.assertEqual(self.broken(13.0, 30, 0.1), [])

    def test_a_lifted_limit(self):
        self.pressure.limit(13.0, None)
        self.assertEqual(self.broken(13.0, 30, 0.1), [])

    def test_slow_enough(self):
        self.assertEqual(self.broken(13.0, 30, 0.4), [])


class RestTest(unittest.TestCase):
    def setUp(self):
        self.pressure = Pressure()
        self.pressure.asks_for_rest("a", 10.0, 3.0)

    def broken(self, entry, *times):
        return [text for at in times
                for text in self.pressure.arrives(entry, at, 0.0)]

    def test_more_than_two(self):
        self.assertEqual(self.broken("a", 10.6, 11.0), [])
        self.assertIn("within a rest", self.broken("a", 12.9)[0])

    def test_on_the_way_and_afterwards(self):
        self.assertEqual(
            self.broken("a", 10.1, 10.2, 10.4, 13.0, 13.1, 13.2), [])

    def test_another_entry(self):
        self.assertEqual(self.broken("b", 11, 11.1, 11.2), [])

    def test_a_disturbed_entry(self):
        self.pressure.disturbed("a")
        self.assertEqual(self.broken("a", 11, 11.1, 11.2), [])


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.pressure = Pressure()
        self.pressure.answers("a", 10.0, True)

    def test_sent_after_the_drain_timeout(self):
        self.assertIn("leaves", self.pressure.arrives("a", 12.3, 12.1)[0])

    def test_sent_before(self):
        self.assertEqual(self.pressure.arrives("a", 12.9, 11.9), [])

    def test_an_entry_that_was_not_told(self):
        self.assertEqual(self.pressure.arrives("b", 20.0, 20.0), [])


if __name__ == "__main__":
    unittest.main()
