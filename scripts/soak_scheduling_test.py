#!/usr/bin/env python3
"""Tests of the settings that a soak draws."""

import unittest

import soak_scheduling

CONTROLS, ENTRIES = ["control-0", "control-1"], ["entry-0", "entry-1"]
SEEDS = range(0, 400, 2)


def draw(seed, which="drawn"):
    return soak_scheduling.draw(seed, which, CONTROLS, ENTRIES)


class DrawTest(unittest.TestCase):
    def test_seed_repeats(self):
        for seed in SEEDS:
            self.assertEqual(draw(seed), draw(seed))

    def test_odd_seeds_have_the_present_settings(self):
        # Guards against runs that no longer cover the defaults.
        for seed in range(1, 20, 2):
            self.assertFalse(draw(seed).is_on())
            self.assertEqual(draw(seed).sections(False), "")
            self.assertEqual(draw(seed).link("entry-0"), 0)

    def test_always_and_never(self):
        self.assertTrue(draw(1, "always").is_on())
        self.assertFalse(draw(2, "never").is_on())

    def test_settings_appear_alone_and_together(self):
        seen = {tuple(draw(seed).chosen) for seed in SEEDS}
        transfer, capacity, shared, demand = (
            ("link", "admission"), ("slots", "allocators"),
            ("admission", "shared_demand"), ("admission", "dispatch"))
        for some in [(transfer,), (capacity,), (shared,), (shared, demand),
                     (transfer, capacity, shared, demand)]:
            self.assertIn(some, seen)

    def test_demand_has_shared_demand(self):
        # Guards against settings that the hosts reject.
        for seed in SEEDS:
            chosen = draw(seed).chosen
            if ("admission", "dispatch") in chosen:
                self.assertEqual(chosen["admission", "shared_demand"], "true")

    def test_links(self):
        drawn = [draw(seed) for seed in SEEDS]
        self.assertTrue(any(one.link("entry-0") != one.link("entry-1")
                            for one in drawn))
        self.assertTrue(any(0 in one.links.values() for one in drawn))
        self.assertTrue(all(one.link("control-1") == 1000 for one in drawn))


class SectionsTest(unittest.TestCase):
    CHOSEN = {("slots", "allocators"): "capacity",
              ("admission", "shared_demand"): "true",
              ("admission", "dispatch"): "demand"}

    def test_each_section_once(self):
        self.assertEqual(
            soak_scheduling.Scheduling(self.CHOSEN).sections(True),
            "[slots]\nallocators = capacity\n"
            "[admission]\nshared_demand = true\ndispatch = demand")

    def test_rolled_out(self):
        rolled = soak_scheduling.Scheduling(self.CHOSEN, rolled=True)
        self.assertEqual(rolled.sections(True), "")
        self.assertIn("capacity", rolled.sections(False))


if __name__ == "__main__":
    unittest.main()
