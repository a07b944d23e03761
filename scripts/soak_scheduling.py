"""The scheduling settings of a soak's hosts (docs/SCHEDULING.md), drawn by the
seed."""

import dataclasses
import random

# Requests that an upstream runs at the same time. With the fewer, which the
# first customer's have, one slow upstream is full with the callers of a soak.
SLOTS, FEW_SLOTS = 4, 2
# Mbit/s of the entries. At the slowest, an entry that serves the callers of all
# is beyond its link, and one that serves a third of them is not.
ENTRY_LINKS, CONTROL_LINK = (40, 60, 100, 250), 1000
# Runs in which one entry states no bandwidth, as one of an older build, and in
# which hosts get the settings while it runs.
UNSTATED_SHARE, ROLLED_SHARE = 0.15, 0.25
# The desk's routes are more urgent than the board's, equally so, or less.
BOARD_PRIORITY, DESK_PRIORITIES = 1, (0, 1, 2)


@dataclasses.dataclass
class Scheduling:
    """The settings of one run."""

    # Values by section and key; empty: the present behaviour.
    chosen: dict = dataclasses.field(default_factory=dict)
    # Mbit/s by host; 0 if the host states none.
    links: dict = dataclasses.field(default_factory=dict)
    # Hosts have the settings from their second start on, as while an operator
    # rolls them out.
    rolled: bool = False
    slots: int = SLOTS
    desk_priority: int = BOARD_PRIORITY

    def is_on(self):
        return bool(self.chosen)

    def link(self, host):
        return self.links.get(host, 0)

    def sections(self, first):
        """@param first whether it is the first start of the host.
        @return the sections of its settings file."""
        if self.rolled and first:
            return ""
        lines, last = [], None
        for (section, key), value in self.chosen.items():
            lines += [f"[{section}]"] * (section != last)
            lines.append(f"{key} = {value}")
            last = section
        return "\n".join(lines)

    def describe(self):
        if not self.is_on():
            return "no scheduling settings"
        chosen = ", ".join(f"{section}.{key} = {value}" for (section, key),
                           value in self.chosen.items())
        links = "/".join(str(link) for link in self.links.values()
                         if link != CONTROL_LINK)
        return (f"{chosen}{' (rolled out)' if self.rolled else ''}, "
                f"{self.slots} slots, entries with {links} Mbit/s")


def draw_settings(rand):
    """@return values by section and key, at least one. Each is drawn apart;
    only dispatch by demand needs the shared demand."""
    chosen = {}
    while not chosen:
        if rand.random() < 0.5:
            chosen["link", "admission"] = "transfer"
        if rand.random() < 0.5:
            chosen["slots", "allocators"] = "capacity"
        if rand.random() < 0.6:
            chosen["admission", "shared_demand"] = "true"
            if rand.random() < 0.6:
                chosen["admission", "dispatch"] = "demand"
    return chosen


def draw(seed, which, controls, entries):
    """Draws from a source of its own, so that a seed's faults stay the same.
    @param which always, never, or drawn: seeds that are even.
    @param controls names of the control hosts.
    @param entries  names of the entry hosts.
    @return the Scheduling of a run."""
    if which == "never" or (which == "drawn" and seed % 2 == 1):
        return Scheduling()
    rand = random.Random(f"{seed}/scheduling")
    links = {name: CONTROL_LINK for name in controls}
    links.update({name: rand.choice(ENTRY_LINKS) for name in entries})
    if rand.random() < UNSTATED_SHARE:
        links[rand.choice(entries)] = 0
    return Scheduling(draw_settings(rand), links,
                      rand.random() < ROLLED_SHARE,
                      rand.choice([FEW_SLOTS, SLOTS]),
                      rand.choice(DESK_PRIORITIES))
