/** Reads the platform's list of replica endpoints at a pace that all control nodes share. */
import { background, timing } from '@martenworks/core-types';
import type { BackendClient, EndpointListUpdate, Clock, Log, Random, ReplicaEndpoint } from '@martenworks/core-types';

/** Milliseconds between two readings, and calls a second that all readers may make together. */
export interface ReadingPace {
  readonly everyMs: number;
  readonly perSecond: number;
  readonly readers: () => number;
}

const entriesPerCall = 50;
const usedShare = 0.6;

const newer = (read: ReplicaEndpoint, known: ReplicaEndpoint | undefined): ReplicaEndpoint => {
  if (known === undefined) return read;
  const weights = { ...read.weights };
  for (const [model, version] of Object.entries(known.weights)) weights[model] = Math.max(version, weights[model] ?? 0);
  return { ...read, weights, isLeaving: read.isLeaving || known.isLeaving };
};

/** Reads the list of replicas again and again and tells what changed, the first time all of it. Pages shift while they are read, so a replica is gone once two readings in a row lack it. A replica's id is one life of it: leaving and its weights' versions never go back within it. */
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
    private readonly pace: ReadingPace,
    private readonly tell: (update: EndpointListUpdate) => void,
  ) {
    background.run('read the replica list', this.run());
  }

  private readonly waitMs = (): number => {
    const calls = Math.ceil((this.endpoints.size + 1) / entriesPerCall) * Math.max(1, this.pace.readers());
    return Math.max(this.pace.everyMs, (calls / (this.pace.perSecond * usedShare)) * 1_000);
  };

  private readonly run = async (): Promise<void> => {
    while (!this.isStopped) {
      const read = await this.backendClient.listReplicas();
      if (this.isStopped) return;
      if (read.isOk()) this.take(read.value);
      else this.log.warn('endpoint list request failed', { fault: read.error });
      await timing.sleep(this.clock, this.waitMs() * (0.9 + 0.2 * this.random.fraction()));
    }
  };

  private readonly take = (read: readonly ReplicaEndpoint[]): void => {
    const isWhole = this.readAt === null;
    this.readAt = this.clock.now();
    const next = new Map(read.map((endpoint) => [endpoint.id, newer(endpoint, this.endpoints.get(endpoint.id))]));
    const absent = [...this.endpoints.values()].filter(({ id }) => !next.has(id));
    const missed = absent.filter(({ id }) => !this.missing.has(id));
    for (const endpoint of missed) next.set(endpoint.id, endpoint);
    this.missing = new Set(missed.map(({ id }) => id));
    const put = [...next.values()].filter(
      (endpoint) => JSON.stringify(endpoint) !== JSON.stringify(this.endpoints.get(endpoint.id)),
    );
    const gone = [...this.endpoints.keys()].filter((id) => !next.has(id));
    this.endpoints = next;
    if (isWhole || put.length > 0 || gone.length > 0) this.tell({ isWhole, put, gone });
  };

  /** A replica has loaded a version of a model's weights, before the list shows it. */
  readonly holds = (id: string, model: string, version: number): void => {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined || (endpoint.weights[model] ?? 0) >= version) return;
    this.endpoints.set(id, { ...endpoint, weights: { ...endpoint.weights, [model]: version } });
  };

  /** The endpoints known now. */
  readonly all = (): ReplicaEndpoint[] => [...this.endpoints.values()];

  /** The endpoint with this id, if it is known. */
  readonly find = (id: string): ReplicaEndpoint | undefined => this.endpoints.get(id);

  /** Milliseconds since the list was last read; null before the first reading. */
  readonly ageMs = (): number | null => (this.readAt === null ? null : Math.round(this.clock.now() - this.readAt));

  /** Ends the reading; one under way is ignored. */
  readonly stop = (): void => {
    this.isStopped = true;
  };
}
