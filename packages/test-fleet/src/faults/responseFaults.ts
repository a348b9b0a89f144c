/** Faults in the responses of replicas: error statuses, truncated streams, missing end markers, wrong weights. */
import type { ReplicaFaults } from '../replica/replicaRecords.js';
import type { FaultContext, Injections } from './faultContext.js';

const minFaultMs = 500;
const maxFaultMs = 3_000;
const maxPoolOutageMs = 4_000;
const maxChunksBeforeTruncation = 6;

const noFault = {
  failStatus: null,
  truncateAfterChunks: null,
  omitsEnd: false,
  claimedWeights: null,
} as const satisfies Partial<ReplicaFaults>;

type ResponseFaults = { [K in keyof typeof noFault]?: ReplicaFaults[K] };

/** Returns the settings that clear the given faults only, since another injection may have set the others. */
const cleared = (faults: ResponseFaults): ResponseFaults =>
  Object.fromEntries(Object.entries(noFault).filter(([name]) => name in faults));

/** `draw` is called only if the replica is running, so that each seed keeps its sequence of random numbers. */
const injectOnReplica = (context: FaultContext, draw: () => ResponseFaults): Promise<void> | null =>
  context.withRandomReplica(async (name) => {
    const replica = context.fleet.runningReplicas.get(name);
    const faults = replica === undefined ? {} : draw();
    replica?.setFaults(faults);
    await context.waitBetween(minFaultMs, maxFaultMs);
    replica?.setFaults(cleared(faults));
  });

const failPool = async (context: FaultContext): Promise<void> => {
  const { fleet } = context;
  const replicas = fleet.replicaNames().flatMap((name) => fleet.runningReplicas.get(name) ?? []);
  for (const replica of replicas) replica.setFaults({ failStatus: 500 });
  await context.waitBetween(2 * minFaultMs, maxPoolOutageMs);
  for (const replica of replicas) replica.setFaults({ failStatus: null });
};

const fail = (context: FaultContext): Promise<void> | null =>
  injectOnReplica(context, () => ({ failStatus: context.random() < 0.5 ? 500 : 503 }));

const truncate = (context: FaultContext): Promise<void> | null =>
  injectOnReplica(context, () => ({ truncateAfterChunks: context.randomInt(maxChunksBeforeTruncation) }));

const omitEnd = (context: FaultContext): Promise<void> | null =>
  injectOnReplica(context, () => ({
    omitsEnd: true,
    truncateAfterChunks: context.random() < 0.5 ? context.randomInt(maxChunksBeforeTruncation) : null,
  }));

/** Replicas respond correctly again after a few seconds. */
export const responseFaults = {
  'replica errs': fail,
  'whole pool errs': failPool,
  'replica cuts streams': truncate,
  'replica omits the end': omitEnd,
  'replica claims other weights': (context) => injectOnReplica(context, () => ({ claimedWeights: 'stray' })),
} satisfies Injections;
