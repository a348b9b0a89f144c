import type { FaultContext, Injections } from './faultContext.js';

export const cuts = (storm: FaultContext) => {
  const { fleet, world } = storm;

  return {
    'counter is isolated': () =>
      storm.onCounter(async (at) => {
        world.isolate(fleet.counterHosts[at] as string);
        await storm.wait(storm.span(500, 6_000));
        world.reconnect(fleet.counterHosts[at] as string);
      }),
    'counter hears a minority': () =>
      storm.onCounter(async (at) => {
        const host = fleet.counterHosts[at] as string;
        const heard = storm.pick(3);
        const others = fleet.postmasterHosts.filter((_, index) => index !== heard);
        for (const other of others) world.cutBoth(host, other);
        await storm.wait(storm.span(1_000, 6_000));
        for (const other of others) {
          world.heal(host, other);
          world.heal(other, host);
        }
      }),
    'postmaster is isolated': () =>
      storm.onPostmaster(async (at) => {
        world.isolate(fleet.postmasterHosts[at] as string);
        await storm.wait(storm.span(500, 8_000));
        world.reconnect(fleet.postmasterHosts[at] as string);
      }),
    'postmasters are cut apart': () =>
      storm.onPostmaster(async () => {
        const [a, b, c] = fleet.postmasterHosts as [string, string, string];
        world.cutBoth(a, b);
        if (storm.random() < 0.5) world.cutBoth(b, c);
        if (storm.random() < 0.3) world.cutBoth(a, c);
        await storm.wait(storm.span(500, 6_000));
        for (const [one, other] of [
          [a, b],
          [b, c],
          [a, c],
        ] as const) {
          world.heal(one, other);
          world.heal(other, one);
        }
      }, true),
    'one-way cut': () =>
      storm.onPostmaster(async (at) => {
        const from = fleet.postmasterHosts[at] as string;
        const hosts = [...fleet.postmasterHosts, ...fleet.counterHosts].filter((host) => host !== from);
        const to = hosts[storm.pick(hosts.length)] as string;
        const isOut = storm.random() < 0.5;
        world.cut(isOut ? from : to, isOut ? to : from);
        await storm.wait(storm.span(500, 8_000));
        world.heal(isOut ? from : to, isOut ? to : from);
      }),
    'replica is cut from some counters': () =>
      storm.onReplica(async (name) => {
        const host = fleet.hostOfReplica(name);
        const some = fleet.counterHosts.filter(() => storm.random() < 0.5);
        for (const other of some) world.cutBoth(host, other);
        await storm.wait(storm.span(500, 6_000));
        for (const other of some) {
          world.heal(host, other);
          world.heal(other, host);
        }
      }),
    'links between replicas slow': () =>
      storm.onReplica(async (name) => {
        const standIn = fleet.current.get(name);
        if (standIn !== undefined) standIn.faults.slowPullMs = 1_500;
        await storm.wait(storm.span(1_000, 6_000));
        if (standIn !== undefined) standIn.faults.slowPullMs = 0;
      }),
  } satisfies Injections;
};
