/** Polls the platform's list of replica endpoints, within a rate limit that all control nodes share. */
import { background, timing } from '@martenworks/core-types';
import type { BackendClient, EndpointListUpdate, Clock, Log, Random, ReplicaEndpoint } from '@martenworks/core-types';

/** Minimum interval between two readings, and the maximum calls per second of all readers together. */
export interface PollingPace {
  readonly intervalMs: number;
  readonly maxCallsPerSecond: number;
  readonly readerCount: () => number;
}

const entriesPerPage = 50;
const usedRateShare = 0.6;

const mergeEndpoint = (read: ReplicaEndpoint, known: ReplicaEndpoint | undefined): ReplicaEndpoint => {
  if (known === undefined) return read;
  const weights = { ...read.weights };
  for (const [model, version] of Object.entries(known.weights)) weights[model] = Math.max(version, weights[model] ?? 0);
  return { ...read, weights, isLeaving: read.isLeaving || known.isLeaving };
};

/**
 * Polls the list of replicas and reports changes; the first report contains the full list. Pages can shift while they
 * are read, so a replica counts as removed only when it is missing from two successive readings. An id stands for one
 * incarnation of a replica, within which `isLeaving` is never reset and weights versions never decrease.
 */
export class EndpointListReader {
  private endpoints = new Map<string, ReplicaEndpoint>();
  private missing = new Set<string>();
  private readAt: number | null = null;
  private isStopped = false;

  constructor(
    private readonly backendClient: BackendClient,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly pace: PollingPace,
    private readonly notify: (update: EndpointListUpdate) => void,
  ) {
    background.run('read the replica list', this.run());
  }

  private readonly waitMs = (): number => {
    const calls = Math.ceil((this.endpoints.size + 1) / entriesPerPage) * Math.max(1, this.pace.readerCount());
    return Math.max(this.pace.intervalMs, (calls / (this.pace.maxCallsPerSecond * usedRateShare)) * 1_000);
  };

  private readonly run = async (): Promise<void> => {
    while (!this.isStopped) {
      const read = await this.backendClient.listReplicas();
      if (this.isStopped) return;
      if (read.isOk()) this.apply(read.value);
      else this.log.warn('endpoint list request failed', { fault: read.error });
      await timing.sleep(this.clock, this.waitMs() * (0.9 + 0.2 * this.random.fraction()));
    }
  };

  private readonly apply = (read: readonly ReplicaEndpoint[]): void => {
    const isWhole = this.readAt === null;
    this.readAt = this.clock.now();
    const next = new Map(
      read.map((endpoint) => [endpoint.id, mergeEndpoint(endpoint, this.endpoints.get(endpoint.id))]),
    );
    const absent = [...this.endpoints.values()].filter(({ id }) => !next.has(id));
    const newlyMissing = absent.filter(({ id }) => !this.missing.has(id));
    for (const endpoint of newlyMissing) next.set(endpoint.id, endpoint);
    this.missing = new Set(newlyMissing.map(({ id }) => id));
    const put = [...next.values()].filter(
      (endpoint) => JSON.stringify(endpoint) !== JSON.stringify(this.endpoints.get(endpoint.id)),
    );
    const gone = [...this.endpoints.keys()].filter((id) => !next.has(id));
    this.endpoints = next;
    if (isWhole || put.length > 0 || gone.length > 0) this.notify({ isWhole, put, gone });
  };

  /** Records that a replica has loaded a version of a model's weights, before the list shows it. */
  readonly recordLoadedWeights = (id: string, model: string, version: number): void => {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined || (endpoint.weights[model] ?? 0) >= version) return;
    this.endpoints.set(id, { ...endpoint, weights: { ...endpoint.weights, [model]: version } });
  };

  /** Returns all known endpoints. */
  readonly all = (): ReplicaEndpoint[] => [...this.endpoints.values()];

  /** Returns the endpoint with this id, if it is known. */
  readonly find = (id: string): ReplicaEndpoint | undefined => this.endpoints.get(id);

  /** Returns the milliseconds since the list was last read; null before the first reading. */
  readonly ageMs = (): number | null => (this.readAt === null ? null : Math.round(this.clock.now() - this.readAt));

  /** Stops polling; the result of a call in progress is ignored. */
  readonly stop = (): void => {
    this.isStopped = true;
  };
}
