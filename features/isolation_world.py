"""Routers, the members' state and a runner's cache, without a network.

The runner keeps parts under the text that a router sends. It remembers who made
each part, so that a request can be checked against the customers that are
isolated in its router's configuration.
"""

import random

import attrs

from features.proxy_harness import HOST, MODEL, ProxyFixture
from knapweedarch.control_messages import (
    Renew,
    pack_deployment,
    unpack_deployment,
)
from knapweedarch.deployments import (
    Customer,
    Deployment,
    Repeatability,
    Route,
    Service,
    SplitShare,
)
from knapweedarch.dialects import CallerOptions, SendOptions
from knapweedarch.http_messages import Request
from knapweedarch.leader import Leader
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.outbound_pool import OutboundPool
from knapweedarch.prompt_parts import Prompt, PromptPart
from knapweedarch.proxy_calls import ProxyCall
from knapweedarch.state import COMMANDS, ControlState, PutDeployment
from knapweedarch.timers import Clock

NAMES = ("a", "b", "c", "d")
RUNNER = Endpoint(
    *("i-1", "1", "http://127.0.0.1:1"),
    *(EndpointKind.SERVICE, ("desk", MODEL), "1"),
)
ROUTE = Route(
    *("chat", HOST, "/", Repeatability.STREAM, 2.0, 1.0, 0),
    (SplitShare("desk", 1.0),),
)
PROMPT = Prompt(
    model=MODEL,
    tokens=80,
    max_tokens=3,
    parts=(PromptPart("p1", 40), PromptPart("p2", 40)),
)


def configuration(
    version: int,
    isolated: frozenset[str],
    names: tuple[str, ...] = NAMES[:3],
    priority: int = 0,
) -> Deployment:
    """Returns a configuration with some customers."""
    return Deployment(
        version,
        routes=(ROUTE,),
        services=(Service("desk"),),
        customers=tuple(
            Customer(name, (f"key-{name}",), priority, name in isolated)
            for name in names
        ),
    )


@attrs.frozen
class Maker:
    """Who made the parts under a text.

    Attributes:
        customer: Name of the customer.
        was_isolated: Whether it was isolated at its router then.
    """

    customer: str
    was_isolated: bool


@attrs.frozen
class Use:
    """A part that a request has used.

    Attributes:
        customer: Who sent the request.
        maker: Who had made the part.
        is_foreign: Whether the two may not share.
    """

    customer: str
    maker: str
    is_foreign: bool


class SimulatedRouter:
    """A router that takes configurations and says how it sends a request."""

    def __init__(self, is_earlier_build: bool = False):
        self.is_earlier_build = is_earlier_build
        self.restart()

    def restart(self) -> None:
        """Forgets all that it knows."""
        self.deployment: Deployment | None = None
        self._fixture = ProxyFixture(None, OutboundPool(Clock()))

    def renewal(self) -> Renew:
        """Returns its request for a lease, as its build writes it."""
        renew = Renew("r", "1", 0, 0, 0)
        return attrs.evolve(renew, reads_unshared=not self.is_earlier_build)

    def take(self, packed: bytes) -> None:
        """Takes a configuration over."""
        deployment = unpack_deployment(packed)
        self.deployment = deployment
        self._fixture.gateway.set_deployment(deployment)
        self._fixture.attempts.set_deployment(deployment)

    def read(self, name: str) -> ProxyCall:
        """Reads a request of a customer."""
        options = CallerOptions(
            request_id="q", key=f"key-{name}", prompt=PROMPT
        )
        req = Request(
            method=b"POST",
            target=b"/x",
            headers=((b"host", HOST.encode()),),
        )
        return self._fixture.gateway._admit(req, options)

    def salt(self, call: ProxyCall) -> str:
        """Returns the text that it sends with a request now."""
        if self.is_earlier_build:
            is_alone = call.customer.isolated
            return f"{RUNNER.weights_version}.{is_alone * call.customer.name}"
        return self.send_options(call).cache_salt

    def send_options(
        self, call: ProxyCall, endpoint: Endpoint = RUNNER
    ) -> SendOptions:
        """Returns what it adds to a request for an endpoint now."""
        return self._fixture.attempts._send_options(call, endpoint, 0, "")


class World:
    """The members' state, two routers and a runner's cache."""

    def __init__(self):
        self.state = ControlState()
        self.routers = [SimulatedRouter(), SimulatedRouter()]
        self.uses: list[Use] = []
        self.is_led_by_earlier_build = False
        # Requests that were read and not sent yet, with their routers.
        self.waiting: list[tuple[SimulatedRouter, ProxyCall]] = []
        self._made: dict[str, Maker] = {}
        self._submitted: dict[int, Deployment] = {}

    def put(
        self,
        isolated: frozenset[str],
        names: tuple[str, ...] = NAMES[:3],
        priority: int = 0,
    ) -> None:
        """Submits a configuration; no router knows of it yet."""
        version = len(self._submitted) + 1
        deployment = configuration(version, isolated, names, priority)
        self._submitted[version] = deployment
        self.state.apply(COMMANDS.encode(PutDeployment(deployment, b"{}")))

    def restore_snapshot(self) -> None:
        """Replaces the members' state by its snapshot."""
        restored = ControlState()
        restored.restore(self.state.snapshot())
        self.state = restored

    def lead_by_earlier_build(self) -> None:
        """Makes the state what a member of the build before keeps of it."""
        self.is_led_by_earlier_build = True
        self.state.deployment = attrs.evolve(self.state.deployment, unshared=())

    def tell(self, router: SimulatedRouter) -> None:
        """Brings the newest configuration to a router."""
        if self.is_led_by_earlier_build:
            known = attrs.evolve(self.state.deployment, unshared=())
            return router.take(pack_deployment(known))
        leader = Leader("m", None, self.state, Clock(), lambda: None)
        return router.take(leader._deployment_for(router.renewal()))

    def tell_all(self) -> None:
        """Brings the newest configuration to all routers."""
        for router in self.routers:
            self.tell(router)

    def send(self, router: SimulatedRouter, name: str) -> bool:
        """Sends the prompt; returns whether its parts were cached."""
        return self.send_call(router, router.read(name))

    def send_call(self, router: SimulatedRouter, call: ProxyCall) -> bool:
        """Sends a request that was read; see `send`."""
        name, salt = call.customer.name, router.salt(call)
        isolated = self._isolated_at(router)
        made = self._made.get(salt)
        if made is None:
            self._made[salt] = Maker(name, name in isolated)
            return False
        is_apart = made.was_isolated or not isolated.isdisjoint(
            (made.customer, name)
        )
        self.uses.append(
            Use(name, made.customer, made.customer != name and is_apart)
        )
        return True

    def send_waiting(self) -> None:
        """Sends the requests that were read; a router may know more by now."""
        waiting, self.waiting = self.waiting, []
        for router, call in waiting:
            # The build before goes by the customer as it was admitted.
            if not router.is_earlier_build:
                self.send_call(router, call)

    def drop_waiting(self, router: SimulatedRouter) -> None:
        """Drops the requests that a router has read, as it restarts."""
        self.waiting = [w for w in self.waiting if w[0] is not router]

    def send_all(self) -> None:
        """Sends the prompt for each customer at each router."""
        for router in self.routers:
            for customer in router.deployment.customers:
                self.send(router, customer.name)

    def _isolated_at(self, router: SimulatedRouter) -> set[str]:
        """Returns who is isolated in the configuration of a router."""
        submitted = self._submitted[router.deployment.version]
        return {c.name for c in submitted.customers if c.isolated}

    def foreign_uses(self) -> list[Use]:
        """Returns the uses that are not allowed."""
        return [use for use in self.uses if use.is_foreign]


def play(seed: int, steps: int) -> list[Use]:
    """Plays random events; returns the uses of cached parts."""
    generator = random.Random(seed)
    world = World()
    world.routers.append(SimulatedRouter(is_earlier_build=True))
    world.put(frozenset())
    world.tell_all()
    for _ in range(steps):
        play_event(world, generator)
    return world.uses


def play_event(world: World, generator: random.Random) -> None:
    """Plays one random event."""
    router = generator.choice(world.routers)
    event = generator.random()
    if event < 0.6:
        names = [c.name for c in router.deployment.customers]
        world.send(router, generator.choice(names))
    elif event < 0.65:
        names = [c.name for c in router.deployment.customers]
        world.waiting.append((router, router.read(generator.choice(names))))
    elif event < 0.7:
        world.send_waiting()
    elif event < 0.8:
        names = tuple(n for n in NAMES if generator.random() < 0.8) or ("a",)
        isolated = frozenset(n for n in names if generator.random() < 0.3)
        world.put(isolated, names)
    elif event < 0.9:
        # The build before cannot be mended where it leads and routes alike.
        if router.is_earlier_build and world.is_led_by_earlier_build:
            return
        if event < 0.83:
            world.drop_waiting(router)
            router.restart()
        world.tell(router)
    elif event < 0.94:
        world.restore_snapshot()
    elif event < 0.97:
        world.lead_by_earlier_build()
    else:
        world.is_led_by_earlier_build = False
