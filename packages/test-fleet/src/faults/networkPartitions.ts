import type { FaultContext, Injections } from './faultContext.js';

export const networkPartitions = (context: FaultContext) => {
  const { fleet, world } = context;

  return {
    'counter is isolated': () =>
      context.onCounter(async (at) => {
        world.isolate(fleet.counterHosts[at] as string);
        await context.wait(context.randomBetween(500, 6_000));
        world.reconnect(fleet.counterHosts[at] as string);
      }),
    'counter hears a minority': () =>
      context.onCounter(async (at) => {
        const host = fleet.counterHosts[at] as string;
        const heard = context.pick(3);
        const others = fleet.postmasterHosts.filter((_, index) => index !== heard);
        for (const other of others) world.partition(host, other);
        await context.wait(context.randomBetween(1_000, 6_000));
        for (const other of others) world.heal(host, other);
      }),
    'postmaster is isolated': () =>
      context.onPostmaster(async (at) => {
        world.isolate(fleet.postmasterHosts[at] as string);
        await context.wait(context.randomBetween(500, 8_000));
        world.reconnect(fleet.postmasterHosts[at] as string);
      }),
    'postmasters are cut apart': () =>
      context.onPostmaster(async () => {
        const [a, b, c] = fleet.postmasterHosts as [string, string, string];
        world.partition(a, b);
        if (context.random() < 0.5) world.partition(b, c);
        if (context.random() < 0.3) world.partition(a, c);
        await context.wait(context.randomBetween(500, 6_000));
        world.heal(a, b);
        world.heal(b, c);
        world.heal(a, c);
      }, true),
    'one-way cut': () =>
      context.onPostmaster(async (at) => {
        const from = fleet.postmasterHosts[at] as string;
        const hosts = [...fleet.postmasterHosts, ...fleet.counterHosts].filter((host) => host !== from);
        const to = hosts[context.pick(hosts.length)] as string;
        const isOut = context.random() < 0.5;
        world.blockLink(isOut ? from : to, isOut ? to : from);
        await context.wait(context.randomBetween(500, 8_000));
        world.unblockLink(isOut ? from : to, isOut ? to : from);
      }),
    'replica is cut from some counters': () =>
      context.onReplica(async (name) => {
        const host = fleet.hostOfReplica(name);
        const some = fleet.counterHosts.filter(() => context.random() < 0.5);
        for (const other of some) world.partition(host, other);
        await context.wait(context.randomBetween(500, 6_000));
        for (const other of some) world.heal(host, other);
      }),
    'links between replicas slow': () =>
      context.onReplica(async (name) => {
        const replica = fleet.runningReplicas.get(name);
        if (replica !== undefined) replica.faults.pullDelayMs = 1_500;
        await context.wait(context.randomBetween(1_000, 6_000));
        if (replica !== undefined) replica.faults.pullDelayMs = 0;
      }),
  } satisfies Injections;
};
