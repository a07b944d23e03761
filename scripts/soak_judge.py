"""Judges requests that end without an answer. Pure functions of what was seen:
no clock, no socket. All times are seconds of one monotonic clock."""

import collections
import dataclasses

# What a calm entry may take to end a connection that a request crosses. One
# that lay whole at it for longer was there to be read.
WHOLE_SECONDS = 0.2
# The same for a connection that was ended because it was idle.
CROSSED_IDLE_SECONDS = 0.1
# How far past its deadline a request may be answered.
LATE_SECONDS = 0.5
# Callers use a connection again that was idle for at most this share of the
# idle limit.
IDLE_SHARE = 0.8
# A caller that stands still for this long takes nothing of a large answer; the
# entry may give it up (after 3 s in which it takes nothing).
STOOD_STILL_SECONDS = 2.5
# An answer that lay at a running entry for longer was there to be read.
LOST_SECONDS = 0.2
# Requests that an upstream queues beyond those that it runs, as the first
# customer's do.
QUEUE = 8
# As the soak's routes and the defaults of the settings say: attempts of a
# request, and retries for each request and beyond that of a service.
MAX_ATTEMPTS, RETRY_RATIO, RETRY_SLACK, SERVICES = 2, 0.2, 10, 2
# An entry that starts lends itself half of its share of the slack, which is
# three quarters of the whole if it is the only one.
RETRY_LENT = 0.75 * RETRY_SLACK / 2
# Of the requests of a kind; less is served of a kind that is starved.
LEAST_SHARE = 0.5
# An upstream that crashes this soon after its answer may not have sent it.
BROKE_OFF_SECONDS = 0.05


@dataclasses.dataclass
class Arrival:
    """A request came to an upstream, whether it ran there or not."""

    at: float
    upstream: str
    ran: bool = False
    answered: float | None = None
    broke_off: bool = False
    # That it came on, at the upstream.
    connection: object = None
    # The caller's entry had no path, so another entry may have sent it.
    relayed: bool = False

    def crash(self, now):
        if self.answered is None or now - self.answered < BROKE_OFF_SECONDS:
            self.broke_off = True


@dataclasses.dataclass
class Sent:
    """A request as its caller saw it."""

    request: str
    shape: str
    opened: float           # The connection was.
    kept: bool = False      # It had carried a request before.
    asked: float = 0.0      # That one was sent then.
    idle: float = 0.0       # For how long it had been idle, to the caller.
    began: float = 0.0      # The first byte was sent.
    idle_limit: float = 15.0
    deadline: float = 2.0
    whole: float | None = None    # Its last byte was sent.
    # The answer to the request before it on the connection came then, and said
    # that the connection closes.
    behind: float | None = None
    told_close: bool = False


class Spans:
    """Times that do not count: an entry is stopped, or the soak itself is held
    up and sees nothing."""

    def __init__(self, spans):
        self.spans = sorted(spans)

    def counted(self, begin, end):
        """@return what of this time counts."""
        if end < begin:
            return 0.0
        left, at = 0.0, begin
        for first, last in self.spans:
            first, last = max(first, at), min(last, end)
            if first < last:
                left += first - at
                at = last
        return left + max(end - at, 0.0)


    def lost(self, begin, end):
        """@return what of this time does not count."""
        return max(end - begin, 0.0) - self.counted(begin, end)


class Life:
    """What was done to the process of an entry, in order."""

    def __init__(self):
        self.events = []

    def add(self, at, what):
        """@param what kill, term, stop, cont or start."""
        self.events.append((at, what))

    def had(self, what, begin, end):
        return any(begin <= at <= end for at, name in self.events
                   if name == what)

    def is_under(self, signal, begin, end):
        """@return whether at some time in between it had got this signal, and
        not been started again since. A process lives on for a moment after a
        signal, and takes connections in it."""
        before = [what for at, what in self.events
                  if at < begin and what in (signal, "start")]
        return before[-1:] == [signal] or self.had(signal, begin, end)

    def stopped(self, now):
        """@return the spans in which it was stopped."""
        spans, begin = [], None
        for at, what in self.events:
            if what == "stop" and begin is None:
                begin = at
            elif what in ("cont", "kill", "start") and begin is not None:
                spans.append((begin, at))
                begin = None
        return spans if begin is None else spans + [(begin, now)]


def begun(sent):
    """@return when the entry could first begin to work on the request."""
    return max(sent.whole, sent.behind or 0.0)


def waited(sent, now, life, held_up):
    """@return for how long a running entry has had the whole request."""
    spans = Spans(life.stopped(now) + list(held_up))
    return spans.counted(begun(sent), now)


def longest_idle(sent, held_up):
    """@return for how long the connection may have been idle to the entry: an
    answer that came while the soak was held up was seen later."""
    if not sent.kept:
        return 0.0
    return sent.idle + Spans(held_up).lost(sent.asked, sent.began)


def is_late(sent, now, life, held_up):
    """@return whether the request should have been answered by now."""
    return (sent.whole is not None
            and not life.is_under("kill", sent.opened, now)
            and waited(sent, now, life, held_up)
            > sent.deadline + LATE_SECONDS)


def unanswered(sent, ended, life, arrivals, held_up):
    """Judges a request whose connection ended before its answer.
    @param arrivals of this request, at all upstreams.
    @param held_up  spans in which the soak itself saw nothing.
    @return whether a rule is broken, and a word for what happened."""
    if life.is_under("kill", sent.opened, ended):
        return False, "killed"
    if (sent.whole is not None and Spans(held_up).lost(sent.whole, ended)
            >= STOOD_STILL_SECONDS):
        return False, "the caller stood still"
    if arrivals:
        if all(arrival.broke_off for arrival in arrivals):
            return False, "upstream broke off"
        where = ", ".join(arrival.upstream for arrival in arrivals)
        return True, f"passed on to {where}"
    terminated = life.is_under("term", sent.opened, ended)
    was_idle = (longest_idle(sent, held_up)
                >= IDLE_SHARE * sent.idle_limit)
    if sent.whole is None:
        slow = ended - sent.began >= sent.idle_limit
        return not (terminated or was_idle or slow), "cut while it was sent"
    wait = waited(sent, ended, life, held_up)
    if wait > WHOLE_SECONDS:
        return True, f"whole at a running entry for {wait:.3f} s"
    if terminated or sent.told_close:
        return False, "crossed the end"
    if was_idle and wait < CROSSED_IDLE_SECONDS:
        return False, "crossed the idle limit"
    return True, "closed on for no reason"


def is_lost(status, ended, arrivals, life, held_up):
    """An answer that is ready must be delivered.
    @param arrivals of the request, at all upstreams.
    @return whether its caller got 502 or 504 although an upstream had answered
    before, and the entry had had the time to read it."""
    spans = Spans(life.stopped(ended) + list(held_up))
    return status in (502, 504) and any(
        arrival.ran and arrival.answered is not None and not arrival.broke_off
        and spans.counted(arrival.answered, ended) > LOST_SECONDS
        for arrival in arrivals)


class SlotWatch:
    """Counts what one incarnation of an upstream runs and queues."""

    def __init__(self, slots):
        self.slots, self.inside = slots, 0

    def enter(self):
        """@return whether it has more than it can run and queue."""
        self.inside += 1
        return self.inside > self.slots + QUEUE

    def leave(self):
        self.inside -= 1


def retries_broken(arrivals, entry_starts):
    """@param arrivals of each request that came to an upstream.
    @param entry_starts of entry processes in the run.
    @return what was broken by all entries together."""
    arrivals = {request: found for request, found in arrivals.items() if found}
    broken = [f"{request} came to upstreams {len(found)} times"
              for request, found in arrivals.items()
              if len(found) > MAX_ATTEMPTS]
    retries = sum(len(found) - 1 for found in arrivals.values())
    allowed = RETRY_RATIO * len(arrivals) + SERVICES * (
        RETRY_SLACK + RETRY_LENT * entry_starts)
    if retries > allowed:
        broken.append(f"{retries} retries of {len(arrivals)} requests, allowed "
                      f"are {allowed:.0f}")
    return broken


def served_share(counts):
    """@param counts of requests by their end, and of calls that are no request:
    those that must be refused and those without an end.
    @return the share of the requests that got 200."""
    asked = sum(count for what, count in counts.items()
                if not what.startswith(("malformed", "endless")))
    return counts["200"] / max(asked, 1)


def starved(answers):
    """@param answers count of the answers by kind and status.
    @return the kinds of which less than LEAST_SHARE is served."""
    sent, served = collections.Counter(), collections.Counter()
    for (kind, status), count in answers.items():
        sent[kind] += count
        served[kind] += count * (status == 200)
    return sorted(kind for kind, count in sent.items()
                  if served[kind] < LEAST_SHARE * count)


def judge_refusal(world, request, status, body, poison):
    """Only the request that crashes upstreams may be refused for that."""
    if (status == 503 and b"crash" in body
            and world.bodies.get(request) != poison):
        world.broke(f"{request} is innocent and was refused: {body!r}")
