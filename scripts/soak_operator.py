"""The soak's operator: small and large changes, and what must stand of them."""

import asyncio
import json
import random

import soak_http
from soak_actors import words

FIRST_IDLE_SECONDS = 15.0
IDLE_SECONDS = [1.5, 2.0, 5.0, FIRST_IDLE_SECONDS]
LARGE_ROUTES = (500, 1400)
# What an order may take, and what each route adds to it.
ORDER_SECONDS, ROUTE_SECONDS = 1.2, 0.003


class Operator:
    """Sends changes and remembers what was acknowledged."""

    def __init__(self, world):
        self.world = world
        self.random = random.Random(f"{world.seed}/operator")
        self.version = 1
        self.acknowledged = {}
        self.dropped = {}
        self.large = []

    def first(self):
        return words.first_change(self.served_routes())

    def served_routes(self):
        """@return the routes that callers use."""
        return {"r-board": words.route("/board/", "board", True, self.version),
                "r-desk": words.route("/desk/", "desk", False, self.version,
                                      self.world.scheduling.desk_priority)}

    async def send(self, change):
        """@return whether it was acknowledged."""
        routes = change["upsert"].get("routes", {})
        dropped = change.get("delete", {}).get("routes", [])
        size = len(routes) + len(dropped)
        body = json.dumps(change).encode()
        for _ in range(60):
            answer = await soak_http.call(
                *self.world.control_address(), "POST", words.CHANGE_PATH, {},
                body, timeout=ORDER_SECONDS + ROUTE_SECONDS * size)
            if answer and answer[0] == 200:
                for name, route in routes.items():
                    self.acknowledged[name] = words.version_of(route)
                for item in dropped:
                    self.dropped[item["name"]] = words.version_of(item)
                return True
            if answer and answer[0] in (400, 409, 412, 413, 422):
                self.world.broke(f"a proper change got {answer}")
                return False
            await asyncio.sleep(0.3)
        return False

    async def run(self):
        while not self.world.over:
            await asyncio.sleep(self.random.uniform(0.2, 0.8))
            self.version += 1
            await self.random.choice([
                self.send_small, self.send_small, self.send_served,
                self.send_large, self.send_large, self.send_limits])()

    async def send_small(self):
        name = f"r-extra-{self.version % 5}"
        await self.send(words.change({name: words.route(
            f"/{name}/", "desk", False, self.version)}))

    async def send_served(self):
        """The routes that callers use are set anew, and stay as they were."""
        self.world.note("routes that callers use set anew")
        await self.send(words.change(self.served_routes()))

    def large_change(self):
        count = self.random.randint(*LARGE_ROUTES)
        names = [f"r-large-{self.version}-{n}" for n in range(count)]
        self.large.append(names)
        return words.change({name: words.route(f"/{name}/", "desk", False,
                                               self.version)
                             for name in names})

    async def send_large(self):
        """Many routes more, another change right behind them, and all of them
        dropped again at some later time."""
        change = self.large_change()
        self.world.note(f"{len(self.large[-1])} routes more")
        await self.send(change)
        self.version += 1
        await self.random.choice([self.send_small, self.send_served])()
        while len(self.large) > self.random.randint(0, 1):
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            self.version += 1
            self.world.note("routes dropped")
            await self.send(words.drop({name: self.version
                                        for name in self.large.pop(0)}))

    async def send_limits(self):
        idle = self.random.choice(IDLE_SECONDS)
        self.world.idle_limit = min(self.world.idle_limit, idle)
        self.world.note(f"idle limit {idle} s")
        if await self.send(words.limits(idle, self.version)):
            self.world.last_idle_limit = idle

    async def read_back(self):
        for _ in range(80):
            answer = await soak_http.call(*self.world.control_address(), "GET",
                                          words.READ_PATH, {},
                                          timeout=ORDER_SECONDS * 2)
            if answer and answer[0] == 200:
                self.check(json.loads(answer[1])["routes"])
                return
            await asyncio.sleep(0.25)
        self.world.broke("nothing could be read back")

    def check(self, stand):
        for name, version in self.acknowledged.items():
            found = words.version_of(stand.get(name, {}))
            if name not in self.dropped and found < version:
                self.world.broke(f"{name} stands at {found}, "
                                 f"acknowledged was {version}")
        for name in self.dropped:
            if name in stand:
                self.world.broke(f"{name} stands though it was dropped")
