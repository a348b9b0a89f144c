/** Faults in what replicas answer: error statuses, truncated streams, missing end markers, wrong weights. */
import type { EmulatedReplica, ReplicaFaults } from '../replica/emulatedReplica.js';
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

/** Each injection sets faults on emulated replicas for a random time and then clears them. */
export const responseFaults = (context: FaultContext) => {
  const { fleet } = context;

  /** `draw` is called only where the replica runs, so that each seed keeps its sequence of random numbers. */
  const disturbOne = (draw: () => ResponseFaults): Promise<void> | null =>
    context.onReplica(async (name) => {
      const replica = fleet.runningReplicas.get(name);
      const faults = replica === undefined ? {} : draw();
      replica?.setFaults(faults);
      await context.wait(context.randomBetween(shortestMs, longestMs));
      replica?.setFaults(cleared(faults));
    });

  const disturbPool = async (): Promise<void> => {
    const isRunning = (replica: EmulatedReplica | undefined): replica is EmulatedReplica => replica !== undefined;
    const replicas = fleet
      .replicaNames()
      .map((name) => fleet.runningReplicas.get(name))
      .filter(isRunning);
    for (const replica of replicas) replica.setFaults({ failStatus: 500 });
    await context.wait(context.randomBetween(2 * shortestMs, longestPoolOutageMs));
    for (const replica of replicas) replica.setFaults({ failStatus: null });
  };

  return {
    'replica errs': () => disturbOne(() => ({ failStatus: context.random() < 0.5 ? 500 : 503 })),
    'whole pool errs': disturbPool,
    'replica cuts streams': () => disturbOne(() => ({ truncateAfterPieces: context.pick(mostPiecesBeforeCut) })),
    'replica omits the end': () =>
      disturbOne(() => ({
        omitsEnd: true,
        truncateAfterPieces: context.random() < 0.5 ? context.pick(mostPiecesBeforeCut) : null,
      })),
    'replica claims other weights': () => disturbOne(() => ({ claimedWeights: 'stray' })),
  } satisfies Injections;
};
