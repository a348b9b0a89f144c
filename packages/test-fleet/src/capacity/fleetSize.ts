/** The size of the fleet that capacity is planned for, and the sizes that the probes measure at. */

/** The size that a series runs over, and its value in the fleet that is planned for. */
export interface Dimension {
  readonly over: string;
  readonly target: number;
}

/** The planned fleet: nodes, replicas, prefix-cache blocks, cache events and requests a second, tenants. */
export const fleetSize = {
  nodes: 400,
  replicas: 1_000,
  blocks: 28_000_000,
  eventsPerSecond: 280_000,
  requestsPerSecond: 1_500,
  tenants: 3_100,
  voters: 3,
  controlMachines: 6,
  changesPerDay: 1_700,
};

const firstTokenSeconds = 0.82;
const tokensAfterFirst = 246;
const secondsPerToken = 0.056;

/** Requests that run at once through one gateway. */
export const runningPerEdge = Math.round(
  (fleetSize.requestsPerSecond * (firstTokenSeconds + tokensAfterFirst * secondsPerToken)) / fleetSize.nodes,
);

/** Sizes that probes measure at, up to that of the planned fleet. */
export const nodeCounts = [10, 50, 100, 200, 400];
/** See `nodeCounts`. */
export const replicaCounts = [50, 100, 250, 500, 1_000];
/** See `nodeCounts`. */
export const tenantCounts = [10, 100, 1_000, 2_000, 3_100];
/** Replicas in one pool. */
export const poolSizes = [10, 25, 50, 100, 250];
/** Blocks of KV cache that one replica keeps in the planned fleet. */
export const blocksPerReplica = fleetSize.blocks / fleetSize.replicas;

/** How many pools, and models, the sample configurations have. */
export const poolCount = 10;

/** The sizes that series run over. */
export const dimensions = {
  edges: { over: 'fronts', target: fleetSize.nodes },
  edgesServed: { over: 'fronts it serves', target: fleetSize.nodes / fleetSize.voters },
  nodes: { over: 'nodes', target: fleetSize.nodes },
  replicas: { over: 'replicas', target: fleetSize.replicas },
  replicasInPool: { over: 'replicas in the pool', target: fleetSize.replicas / poolCount },
  tenants: { over: 'tenants', target: fleetSize.tenants },
  customers: { over: 'customers', target: fleetSize.tenants },
  blocks: { over: 'blocks', target: fleetSize.blocks },
  blocksSent: { over: 'blocks', target: 1_120_000 },
  blocksPerEvent: { over: 'blocks an event', target: 1 },
  eventsPerSecond: { over: 'events a second', target: fleetSize.eventsPerSecond },
  eventsPerBatch: { over: 'events in a bundle', target: 1_000 },
  cachedParts: { over: 'parts held', target: 1_000_000 },
  concurrentClaims: { over: 'claims at once', target: fleetSize.requestsPerSecond },
  storedClaims: { over: 'claims kept', target: fleetSize.requestsPerSecond * 600 },
  missedChanges: { over: 'changes behind', target: 71 },
} as const satisfies Record<string, Dimension>;
