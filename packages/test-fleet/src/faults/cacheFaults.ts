/** Faults of the cache events that replicas send, and of the cache store. */
import type { ReplicaFaults } from '../replica/replicaRecords.js';
import type { FaultContext, Injections } from './faultContext.js';

const store = 'store-1';

const injectEventFault = (context: FaultContext, faults: Partial<ReplicaFaults>): Promise<void> | null =>
  context.withRandomReplica(async (name) => {
    const replica = context.fleet.runningReplicas.get(name);
    replica?.setFaults(faults);
    await context.waitBetween(1_000, 8_000);
    replica?.setFaults({ eventDelayMs: 0, dropsEvents: false });
  });

/** In half of the cases the store restarts with its old incarnation and without an announcement. */
const restartStore = async (context: FaultContext): Promise<void> => {
  const { fleet, world } = context;
  if (context.random() < 0.5) return context.restartReplica(store);
  world.machine(fleet.storeHost).boot();
  fleet.startReplica(store, fleet.storeHost, { incarnation: fleet.incarnationOf(store) });
};

const loseStore = (context: FaultContext): Promise<void> | null => {
  const { fleet } = context;
  if (!fleet.runningReplicas.has(store)) return null;
  return context.withClaim(store, async () => {
    fleet.killReplica(store);
    await context.waitBetween(200, 3_000);
    await restartStore(context);
    const replica = fleet.runningReplicas.get(store);
    if (replica !== undefined && context.random() < 0.5)
      replica.setFaults({ eventDelayMs: context.randomBetween(200, 3_000) });
    await context.waitBetween(500, 5_000);
    replica?.setFaults({ eventDelayMs: 0 });
  });
};

/** Gateways must not name cache sources whose blocks are lost. */
export const cacheFaults = {
  'kv news is late': (context) => injectEventFault(context, { eventDelayMs: 3_000 }),
  'kv news is lost': (context) => injectEventFault(context, { dropsEvents: true }),
  'cache store is lost': loseStore,
} satisfies Injections;
