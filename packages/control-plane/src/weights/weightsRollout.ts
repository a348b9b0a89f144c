/** Brings replicas to the target versions of their models' weights, under a lease that one control node holds. */
import { background, timing } from '@martenworks/core-types';
import type { BackendClient, Clock, Log, ReplicaEndpoint, WeightsUpdate } from '@martenworks/core-types';

const noticeMs = 70;
const firstLookMs = 300;
const lookMs = 110;
const giveUpMs = 4_000;
const restMs = 1_500;
const againMs = 300;
const atOnceShare = 0.25;

interface Waiting {
  readonly endpoint: ReplicaEndpoint;
  readonly model: string;
  readonly version: number;
}

/** Brings the replicas to the weights that were named, some at a time and the oldest weights first, under the lease of one holder. The edges are told before each order, so that they send nothing there while it is under way. */
export class WeightsRollout {
  private readonly underWay = new Map<string, string>();
  private readonly restUntil = new Map<string, number>();
  private orders = 0;

  constructor(
    private readonly backendClient: BackendClient,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly endpoints: () => readonly ReplicaEndpoint[],
    private readonly wanted: () => readonly {
      readonly pool: string;
      readonly model: string;
      readonly version: number;
    }[],
    private readonly fence: () => number | null,
    private readonly holder: () => string,
    private readonly tell: (update: WeightsUpdate) => void,
    private readonly holds: (id: string, model: string, version: number) => void,
  ) {}

  private readonly pending = (): { waiting: Waiting[]; poolSizes: Map<string, number> } => {
    const poolSizes = new Map<string, number>();
    const endpoints = this.endpoints();
    for (const endpoint of endpoints) poolSizes.set(endpoint.pool, (poolSizes.get(endpoint.pool) ?? 0) + 1);
    const now = this.clock.now();
    const waiting = this.wanted().flatMap(({ pool, model, version }) =>
      endpoints.flatMap((endpoint) => {
        const isBehind =
          endpoint.pool === pool &&
          !endpoint.isLeaving &&
          endpoint.weights[model] !== undefined &&
          endpoint.weights[model] < version;
        return isBehind && !this.underWay.has(endpoint.id) && (this.restUntil.get(endpoint.id) ?? 0) <= now
          ? [{ endpoint, model, version }]
          : [];
      }),
    );
    return {
      waiting: waiting.sort((a, b) => (a.endpoint.weights[a.model] ?? 0) - (b.endpoint.weights[b.model] ?? 0)),
      poolSizes,
    };
  };

  /** Orders loads for replicas that are behind, at most a quarter of a pool (one at least) at once; does nothing without the lease. */
  readonly step = (): void => {
    if (this.fence() === null) return;
    const { waiting, poolSizes } = this.pending();
    for (const one of waiting) {
      if (this.underWay.has(one.endpoint.id)) continue;
      const inPool = [...this.underWay.values()].filter((pool) => pool === one.endpoint.pool).length;
      if (inPool >= Math.max(1, Math.floor((poolSizes.get(one.endpoint.pool) ?? 0) * atOnceShare))) continue;
      this.underWay.set(one.endpoint.id, one.endpoint.pool);
      background.run(
        'load weights',
        this.load(one).finally(() => this.underWay.delete(one.endpoint.id)),
      );
    }
  };

  private readonly rest = ({ endpoint, model }: Waiting, forMs: number): void =>
    this.tell({ id: endpoint.id, model, version: null, forMs });

  private readonly done = ({ endpoint, model, version }: Waiting, sinceMs: number): void => {
    this.log.info('weights load finished', {
      replica: endpoint.id,
      model,
      version,
      ms: Math.round(this.clock.now() - sinceMs),
    });
    this.holds(endpoint.id, model, version);
    this.tell({ id: endpoint.id, model, version, forMs: 0 });
  };

  private readonly postpone = (one: Waiting, forMs: number): void => {
    this.restUntil.set(one.endpoint.id, this.clock.now() + forMs);
    this.rest(one, 0);
  };

  private readonly load = async (one: Waiting): Promise<void> => {
    const { endpoint, model, version } = one;
    const beganAt = this.clock.now();
    this.rest(one, restMs);
    await timing.sleep(this.clock, noticeMs);
    const fence = this.fence();
    if (fence === null) return this.postpone(one, 0);
    this.orders += 1;
    const reply = await this.backendClient.requestWeightsLoad(endpoint, {
      model,
      version,
      holder: this.holder(),
      fence,
    });
    this.log.info('weights load ordered', { replica: endpoint.id, model, version, fence, reply });
    if (reply === 'holds') return this.done(one, beganAt);
    if (reply === 'outranked' || reply === 'refused' || reply === 'elsewhere') return this.postpone(one, againMs);
    await this.watch(one, beganAt);
  };

  private readonly watch = async (one: Waiting, beganAt: number): Promise<void> => {
    const { endpoint, model, version } = one;
    const until = this.clock.now() + giveUpMs;
    await timing.sleep(this.clock, firstLookMs);
    let toldAt = this.clock.now();
    while (this.clock.now() < until) {
      if (this.fence() === null) return;
      const report = await this.backendClient.readReport(endpoint);
      if (report.isOk() && (report.value.weights[model] ?? 0) >= version) return this.done(one, beganAt);
      if (report.isOk() && !report.value.isBusy) return this.postpone(one, againMs);
      if (report.isErr() && !this.endpoints().some((held) => held.id === endpoint.id)) return;
      if (this.clock.now() - toldAt > restMs / 2) {
        this.rest(one, restMs);
        toldAt = this.clock.now();
      }
      await timing.sleep(this.clock, lookMs);
    }
    this.postpone(one, againMs);
  };

  /** Replicas that are loading now and orders sent so far, for the status page. */
  readonly status = (): { underWay: string[]; orders: number } => ({
    underWay: [...this.underWay.keys()],
    orders: this.orders,
  });
}
