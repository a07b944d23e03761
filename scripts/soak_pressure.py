"""Judges whether entries keep what an upstream says of the load that it accepts:
a limit of its request rate, rests, and that it leaves. No clock, no socket: all
times are seconds of one monotonic clock."""

import collections

# A limit binds this long after it was first named, in each span of WINDOW_SECONDS.
SETTLING_SECONDS, WINDOW_SECONDS = 3.0, 4.0
ALLOWED_FACTOR, ALLOWED_EXTRA = 1.5, 5
# What an entry was told binds it from then on.
TELLING_SECONDS = 0.5
ALLOWED_IN_REST = 2
DRAIN_SECONDS = 2.0


class Rest:
    """Time for which an upstream wants nothing from an entry."""

    def __init__(self, entry, begin, end):
        self.entry, self.begin, self.end = entry, begin, end
        self.arrivals = 0


class Pressure:
    """What one incarnation of an upstream said, and what it got since."""

    def __init__(self):
        self.rate = None
        self.named = 0.0
        self.told_rate = {}
        self.told_leaving = {}
        self.rests = []
        self.window = collections.deque()

    def limit(self, now, rate):
        """The upstream names a limit from now on; None: none."""
        self.rate, self.named = rate, now
        self.told_rate.clear()
        self.window.clear()

    def answers(self, entry, now, leaving):
        """It answers a request of an entry, and says what it accepts."""
        if self.rate is not None:
            self.told_rate.setdefault(entry, now)
        if leaving:
            self.told_leaving.setdefault(entry, now)

    def asks_for_rest(self, entry, now, seconds):
        self.rests.append(Rest(entry, now, now + seconds))

    def disturbed(self, entry):
        """A fault of the entry: what it was told before does not bind it."""
        self.told_rate.pop(entry, None)
        self.told_leaving.pop(entry, None)
        self.rests = [rest for rest in self.rests if rest.entry != entry]

    def arrives(self, entry, now, sent):
        """@param sent when the caller began to send the request.
        @return what the entry broke with this request."""
        return [text for text in (self.limit_broken(entry, now),
                                  self.rest_broken(entry, now),
                                  self.leaving_broken(entry, sent)) if text]

    def limit_broken(self, entry, now):
        told = self.told_rate.get(entry)
        if (told is None or now < told + TELLING_SECONDS
                or now < self.named + SETTLING_SECONDS):
            return None
        self.window.append(now)
        while now - self.window[0] >= WINDOW_SECONDS:
            self.window.popleft()
        allowed = ALLOWED_FACTOR * self.rate * WINDOW_SECONDS + ALLOWED_EXTRA
        if len(self.window) <= allowed:
            return None
        return (f"got {len(self.window)} requests in {WINDOW_SECONDS} s at a "
                f"limit of {self.rate}")

    def rest_broken(self, entry, now):
        self.rests = [rest for rest in self.rests if now < rest.end]
        for rest in self.rests:
            if rest.entry == entry and now >= rest.begin + TELLING_SECONDS:
                rest.arrivals += 1
                if rest.arrivals > ALLOWED_IN_REST:
                    return (f"got {rest.arrivals} requests within a rest of "
                            f"{rest.end - rest.begin:.1f} s")
        return None

    def leaving_broken(self, entry, sent):
        told = self.told_leaving.get(entry)
        if told is None or sent <= told + DRAIN_SECONDS:
            return None
        return (f"got a request sent {sent - told:.2f} s after it said that it "
                "leaves")
