/** Faults in what replicas answer: error statuses, truncated streams, missing end markers, wrong weights. */
import type { ReplicaFaults } from '../replica/replicaRecords.js';
import type { FaultContext, Injections } from './faultContext.js';

const shortestMs = 500;
const longestMs = 3_000;
const longestPoolOutageMs = 4_000;
const mostPiecesBeforeCut = 6;

const noFault = {
  failStatus: null,
  truncateAfterPieces: null,
  omitsEnd: false,
  claimedWeights: null,
} as const satisfies Partial<ReplicaFaults>;

type ResponseFaults = { [K in keyof typeof noFault]?: ReplicaFaults[K] };

/** Clears what `faults` sets and nothing else, since another injection may have set the rest. */
const cleared = (faults: ResponseFaults): ResponseFaults =>
  Object.fromEntries(Object.entries(noFault).filter(([name]) => name in faults));

/** `draw` is called only where the replica runs, so that each seed keeps its sequence of random numbers. */
const disturbOne = (context: FaultContext, draw: () => ResponseFaults): Promise<void> | null =>
  context.onReplica(async (name) => {
    const replica = context.fleet.runningReplicas.get(name);
    const faults = replica === undefined ? {} : draw();
    replica?.setFaults(faults);
    await context.waitBetween(shortestMs, longestMs);
    replica?.setFaults(cleared(faults));
  });

const disturbPool = async (context: FaultContext): Promise<void> => {
  const { fleet } = context;
  const replicas = fleet.replicaNames().flatMap((name) => fleet.runningReplicas.get(name) ?? []);
  for (const replica of replicas) replica.setFaults({ failStatus: 500 });
  await context.waitBetween(2 * shortestMs, longestPoolOutageMs);
  for (const replica of replicas) replica.setFaults({ failStatus: null });
};

const fail = (context: FaultContext): Promise<void> | null =>
  disturbOne(context, () => ({ failStatus: context.random() < 0.5 ? 500 : 503 }));

const truncate = (context: FaultContext): Promise<void> | null =>
  disturbOne(context, () => ({ truncateAfterPieces: context.pick(mostPiecesBeforeCut) }));

const omitEnd = (context: FaultContext): Promise<void> | null =>
  disturbOne(context, () => ({
    omitsEnd: true,
    truncateAfterPieces: context.random() < 0.5 ? context.pick(mostPiecesBeforeCut) : null,
  }));

/** Replicas answer well again after some seconds. */
export const responseFaults = {
  'replica errs': fail,
  'whole pool errs': disturbPool,
  'replica cuts streams': truncate,
  'replica omits the end': omitEnd,
  'replica claims other weights': (context) => disturbOne(context, () => ({ claimedWeights: 'stray' })),
} satisfies Injections;
