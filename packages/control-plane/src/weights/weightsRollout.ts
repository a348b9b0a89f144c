/** Loads the target versions of models' weights onto replicas, under a lease held by one control node. */
import { background, timing } from '@martenworks/core-types';
import type { BackendClient, Clock, Log, ReplicaEndpoint, WeightsUpdate } from '@martenworks/core-types';

const noticeDelayMs = 70;
const firstPollDelayMs = 300;
const pollIntervalMs = 110;
const loadTimeoutMs = 4_000;
const pauseMs = 1_500;
const retryDelayMs = 300;
const maxConcurrentShare = 0.25;

interface PendingLoad {
  readonly endpoint: ReplicaEndpoint;
  readonly model: string;
  readonly version: number;
}

/**
 * Brings replicas to the target versions of their weights, some at a time and the oldest versions first, while this
 * node holds the lease. Edges are notified before each load order, so that they send no requests to the replica
 * meanwhile.
 */
export class WeightsRollout {
  private readonly loading = new Map<string, string>();
  private readonly retryAt = new Map<string, number>();
  private orderCount = 0;

  constructor(
    private readonly backendClient: BackendClient,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly endpoints: () => readonly ReplicaEndpoint[],
    private readonly targets: () => readonly {
      readonly pool: string;
      readonly model: string;
      readonly version: number;
    }[],
    private readonly fence: () => number | null,
    private readonly holderName: () => string,
    private readonly notifyEdges: (update: WeightsUpdate) => void,
    private readonly recordLoaded: (id: string, model: string, version: number) => void,
  ) {}

  private readonly pending = (): { loads: PendingLoad[]; poolSizes: Map<string, number> } => {
    const poolSizes = new Map<string, number>();
    const endpoints = this.endpoints();
    for (const endpoint of endpoints) poolSizes.set(endpoint.pool, (poolSizes.get(endpoint.pool) ?? 0) + 1);
    const now = this.clock.now();
    const loads = this.targets().flatMap(({ pool, model, version }) =>
      endpoints.flatMap((endpoint) => {
        const isOutdated =
          endpoint.pool === pool &&
          !endpoint.isLeaving &&
          endpoint.weights[model] !== undefined &&
          endpoint.weights[model] < version;
        return isOutdated && !this.loading.has(endpoint.id) && (this.retryAt.get(endpoint.id) ?? 0) <= now
          ? [{ endpoint, model, version }]
          : [];
      }),
    );
    return {
      loads: loads.sort((a, b) => (a.endpoint.weights[a.model] ?? 0) - (b.endpoint.weights[b.model] ?? 0)),
      poolSizes,
    };
  };

  /**
   * Orders loads for replicas with outdated weights: at most a quarter of a pool, but at least one replica, at a time.
   * Does nothing without the lease.
   */
  readonly step = (): void => {
    if (this.fence() === null) return;
    const { loads, poolSizes } = this.pending();
    for (const load of loads) {
      if (this.loading.has(load.endpoint.id)) continue;
      const inPool = [...this.loading.values()].filter((pool) => pool === load.endpoint.pool).length;
      if (inPool >= Math.max(1, Math.floor((poolSizes.get(load.endpoint.pool) ?? 0) * maxConcurrentShare))) continue;
      this.loading.set(load.endpoint.id, load.endpoint.pool);
      background.run(
        'load weights',
        this.load(load).finally(() => this.loading.delete(load.endpoint.id)),
      );
    }
  };

  private readonly announcePause = ({ endpoint, model }: PendingLoad, forMs: number): void =>
    this.notifyEdges({ id: endpoint.id, model, version: null, forMs });

  private readonly finish = ({ endpoint, model, version }: PendingLoad, startedAt: number): void => {
    this.log.info('weights load finished', {
      replica: endpoint.id,
      model,
      version,
      ms: Math.round(this.clock.now() - startedAt),
    });
    this.recordLoaded(endpoint.id, model, version);
    this.notifyEdges({ id: endpoint.id, model, version, forMs: 0 });
  };

  private readonly postpone = (load: PendingLoad, delayMs: number): void => {
    this.retryAt.set(load.endpoint.id, this.clock.now() + delayMs);
    this.announcePause(load, 0);
  };

  private readonly load = async (load: PendingLoad): Promise<void> => {
    const { endpoint, model, version } = load;
    const startedAt = this.clock.now();
    this.announcePause(load, pauseMs);
    await timing.sleep(this.clock, noticeDelayMs);
    const fence = this.fence();
    if (fence === null) return this.postpone(load, 0);
    this.orderCount += 1;
    const reply = await this.backendClient.requestWeightsLoad(endpoint, {
      model,
      version,
      holder: this.holderName(),
      fence,
    });
    this.log.info('weights load ordered', { replica: endpoint.id, model, version, fence, reply });
    if (reply === 'holds') return this.finish(load, startedAt);
    if (reply === 'outranked' || reply === 'refused' || reply === 'elsewhere') return this.postpone(load, retryDelayMs);
    await this.awaitLoad(load, startedAt);
  };

  private readonly awaitLoad = async (load: PendingLoad, startedAt: number): Promise<void> => {
    const { endpoint, model, version } = load;
    const until = this.clock.now() + loadTimeoutMs;
    await timing.sleep(this.clock, firstPollDelayMs);
    let announcedAt = this.clock.now();
    while (this.clock.now() < until) {
      if (this.fence() === null) return;
      const report = await this.backendClient.readReport(endpoint);
      if (report.isOk() && (report.value.weights[model] ?? 0) >= version) return this.finish(load, startedAt);
      if (report.isOk() && !report.value.isBusy) return this.postpone(load, retryDelayMs);
      if (report.isErr() && !this.endpoints().some((known) => known.id === endpoint.id)) return;
      if (this.clock.now() - announcedAt > pauseMs / 2) {
        this.announcePause(load, pauseMs);
        announcedAt = this.clock.now();
      }
      await timing.sleep(this.clock, pollIntervalMs);
    }
    this.postpone(load, retryDelayMs);
  };

  /** Returns the replicas that are loading now and the number of orders sent so far, for the status page. */
  readonly status = (): { underWay: string[]; orders: number } => ({
    underWay: [...this.loading.keys()],
    orders: this.orderCount,
  });
}
