/** The size of the planned fleet, and the sizes that the probes measure at. */

/** The quantity that a series varies, and its value in the planned fleet. */
export interface Dimension {
  readonly over: string;
  readonly target: number;
}

/** The planned fleet; `nodes` are gateways or edges, `blocks` those of all prefix caches, `voters` control nodes. */
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

/** Requests in flight through one gateway or edge, by Little's law. */
export const runningPerEdge = Math.round(
  (fleetSize.requestsPerSecond * (firstTokenSeconds + tokensAfterFirst * secondsPerToken)) / fleetSize.nodes,
);

/** The node counts that probes measure at, up to that of the planned fleet. */
export const nodeCounts = [10, 50, 100, 200, 400];
/** The replica counts that probes measure at. */
export const replicaCounts = [50, 100, 250, 500, 1_000];
/** The tenant counts that probes measure at. */
export const tenantCounts = [10, 100, 1_000, 2_000, 3_100];
/** The pool sizes that probes measure at, in replicas. */
export const poolSizes = [10, 25, 50, 100, 250];
/** KV cache blocks that one replica stores in the planned fleet. */
export const blocksPerReplica = fleetSize.blocks / fleetSize.replicas;

/** The number of pools, each with one model, in the sample configurations. */
export const poolCount = 10;

/** The quantities that series vary. */
export const dimensions = {
  edges: { over: 'gateways or edges', target: fleetSize.nodes },
  edgesServed: { over: 'edges it serves', target: fleetSize.nodes / fleetSize.voters },
  nodes: { over: 'nodes', target: fleetSize.nodes },
  replicas: { over: 'replicas', target: fleetSize.replicas },
  replicasInPool: { over: 'replicas in the pool', target: fleetSize.replicas / poolCount },
  tenants: { over: 'tenants', target: fleetSize.tenants },
  customers: { over: 'customers', target: fleetSize.tenants },
  blocks: { over: 'blocks', target: fleetSize.blocks },
  blocksSent: { over: 'blocks', target: 1_120_000 },
  blocksPerEvent: { over: 'blocks per event', target: 1 },
  eventsPerSecond: { over: 'events per second', target: fleetSize.eventsPerSecond },
  eventsPerBatch: { over: 'events per batch', target: 1_000 },
  cachedParts: { over: 'cached parts', target: 1_000_000 },
  concurrentClaims: { over: 'concurrent claims', target: fleetSize.requestsPerSecond },
  storedClaims: { over: 'stored claims', target: fleetSize.requestsPerSecond * 600 },
  missedChanges: { over: 'missed changes', target: 71 },
} as const satisfies Record<string, Dimension>;
