"""Figures of the deployment benches, from the records of a trial."""

import collections
import dataclasses

import checks

SECOND = 1_000_000_000
# A request that had to wait longer than this found its key unavailable.
UNAVAILABLE_AFTER = SECOND


class Figures:
    """Prints figures and remembers whether one was over its bound."""

    def __init__(self):
        self.over = False

    def show(self, name, value, unit, operator=None, bound=None):
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        if operator is None:
            print(f"figure {name} {text} {unit} bound - -", flush=True)
            return
        holds = value <= bound if operator == "<=" else value >= bound
        self.over = self.over or not holds
        print(f"figure {name} {text} {unit} bound {operator} {bound} "
              f"{'ok' if holds else 'over'}", flush=True)

    def show_invariants(self, prefix, evidence, bounded):
        """One count for each invariant; bounded by 0 if asked for."""
        for check in evidence.checks():
            name = prefix + NAMES.get(check.name, check.name.replace(" ", "_"))
            self.show(name, check.broken, "count", "<=" if bounded else None,
                      0)
            if bounded:
                for example in check.examples[:checks.EXAMPLES_SHOWN]:
                    print(f"    {example}")


# Names that the letters ask for.
NAMES = {
    "no non-idempotent request runs twice": "double_runs",
    "nothing answered not-run has run": "false_not_run",
    "no answer reached another caller": "answers_crossed",
    "no shortened answer looked whole": "answers_truncated_as_whole",
    "at most one owner of a slot at any moment": "slots_with_two_owners",
    "no key runs at two upstreams at once": "keys_run_at_two_upstreams",
    "fences of a key never go down": "fences_that_went_down",
    "a fence is held by one process": "fences_with_two_holders",
    "each answer is of a recorded run": "answers_without_a_run",
}


def imbalance(evidence, service):
    """Busy time of the busiest upstream over the mean of all."""
    busy = collections.Counter()
    for life in evidence.lives:
        if life.service == service:
            busy[life.upstream] += sum(run.end - run.start for run in life.runs
                                       if run.end is not None)
    mean = sum(busy.values()) / max(len(busy), 1)
    return max(busy.values()) / mean if mean else 0.0


def unavailable_key_seconds(evidence):
    """Sums over keys the time in which a request had to wait longer than the
    bound, or was never answered; times that overlap count once."""
    waits = collections.defaultdict(list)
    for request in requests_of(evidence).values():
        if request.waited > UNAVAILABLE_AFTER or not request.answered:
            waits[request.service, request.key].append(
                (request.intended, request.intended + request.waited))
    total = 0
    for periods in waits.values():
        periods.sort()
        reached = 0
        for begin, end in periods:
            total += max(0, end - max(begin, reached))
            reached = max(reached, end)
    return total / SECOND


def longest_read_wait_ms(evidence):
    """Longest wait of a read. A write that an upstream froze with waits for
    its outcome, although its key has an owner again."""
    return max((request.waited for request in requests_of(evidence).values()
                if request.method == "GET"), default=0) / 1e6


def new_work_after_ms(life, told):
    """How long after it was told to stop a process still began a run."""
    last = max((run.start for run in life.runs), default=told)
    return max(0, last - told) / 1e6


@dataclasses.dataclass
class Request:
    service: str
    key: str
    customer: str
    method: str
    intended: int
    waited: int = 0
    answered: bool = False


def requests_of(evidence):
    """The requests behind the sendings, by id."""
    requests = {}
    for sending in evidence.sendings:
        request = requests.setdefault(
            sending["id"], Request(sending["service"], sending["key"],
                                   sending["customer"], sending["method"],
                                   sending["intended"]))
        waited = sending["done"] - sending["intended"]
        if sending["result"] == "answered":
            request.waited = min(request.waited, waited) if request.answered \
                else waited
            request.answered = True
        elif not request.answered:
            request.waited = max(request.waited, waited)
    return requests


@dataclasses.dataclass
class Window:
    p99: float
    goodput: float


def latencies_by_window(evidence, customers, since_s, until_s):
    """Of some customers' requests: (outside the window, inside it)."""
    requests = [request for request in requests_of(evidence).values()
                if request.customer in customers]
    began = min(request.intended for request in requests)
    inside, outside = [], []
    for request in requests:
        at = (request.intended - began) / SECOND
        (inside if since_s <= at < until_s else outside).append(request)
    return _window(outside), _window(inside)


def _window(requests):
    waits = sorted(request.waited for request in requests if request.answered)
    return Window(waits[int(len(waits) * 0.99)] / 1e6 if waits else 0.0,
                  len(waits) / max(len(requests), 1))
