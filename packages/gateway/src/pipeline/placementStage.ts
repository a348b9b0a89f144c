import { prompts } from '@martenworks/core-types';
import type { Contention, PoolDemands, ReplicaRecord } from '@martenworks/core-types';
import { place, weigh } from '@martenworks/prefix-index';
import type { Placement, PlaceQuestion } from '@martenworks/prefix-index';
import type { StageContext } from './stageContext.js';
import type { Rejector } from './rejector.js';
import { GatewayRequest, scopes } from '../gatewayRequest.js';
import { Tray } from './boundedQueue.js';
import { grants } from '../state/grants.js';
import { TransferTracker } from '../replicas/replicaTracker.js';

const forecastSafety = 0.5;
const urgentHeadroom = 0.5;

export interface WhyLine {
  readonly replica: string;
  readonly state: string;
  readonly tenantPartition: string;
  readonly keptTokens: number;
  readonly mayBeNamed: boolean;
  readonly running: number;
  readonly holder: string | null;
  readonly prefillTokens: number | null;
  readonly costMs: number | null;
}

interface Waiting {
  readonly tray: Tray<GatewayRequest>;
  readonly byTier: Map<string, number>;
}

export class PlacementStage {
  readonly pulls: TransferTracker;
  private readonly queues = new Map<string, Waiting>();
  contention: Contention = {};

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly send: (request: GatewayRequest, placed: Placement) => void,
  ) {
    this.pulls = new TransferTracker(context.ports.clock);
  }

  private readonly queueOf = (poolName: string): Waiting => {
    const held = this.queues.get(poolName);
    if (held !== undefined) return held;
    const queue: Waiting = { tray: new Tray(this.context.settings.queueLimit), byTier: new Map() };
    this.queues.set(poolName, queue);
    return queue;
  };

  readonly isStanding = (request: GatewayRequest): boolean =>
    grants.of(this.context.stateView.view(), request).match(
      ({ lane, tenant }) => {
        request.lane = lane;
        request.tenant = tenant;
        request.isOnce ||= lane.repeat === 'once';
        return true;
      },
      ([code, detail]) => {
        this.rejector.refuse(request, code, detail);
        return false;
      },
    );

  readonly queue = (request: GatewayRequest): void => {
    if (!this.isStanding(request)) return;
    const { lane, tenant } = request;
    if (lane === null || tenant === null) return;
    if (this.context.stateView.inPool(lane.poolName).length === 0) {
      this.rejector.refuse(request, 'no_capacity', 'the pool has no ready replica');
      return;
    }
    const queue = this.queueOf(lane.poolName);
    const ofTier = queue.byTier.get(tenant.tierName) ?? 0;
    if (ofTier >= Math.max(1, Math.floor(tenant.tier.share * this.context.settings.queueLimit))) {
      this.rejector.refuse(request, 'over_share', "the tier's share of the queue is taken");
      return;
    }
    const now = this.context.ports.clock.now();
    if (queue.tray.forecastMs(tenant.name, now) > (request.deadlineAt - now) * forecastSafety) {
      this.rejector.refuse(request, 'no_capacity', 'the wait would pass the horizon');
      return;
    }
    request.waits();
    queue.byTier.set(tenant.tierName, ofTier + 1);
    const displaced = queue.tray.put(tenant.name, tenant.tier.rank, request, now);
    if (displaced !== null) {
      this.forget(queue, displaced);
      this.rejector.refuse(displaced, 'no_capacity', 'the queue is full');
    }
    this.pump(lane.poolName);
  };

  private readonly forget = (queue: Waiting, request: GatewayRequest): void => {
    if (request.tenant === null) return;
    const { tierName } = request.tenant;
    queue.byTier.set(tierName, Math.max(0, (queue.byTier.get(tierName) ?? 0) - 1));
  };

  readonly unqueue = (request: GatewayRequest): boolean => {
    if (request.lane === null) return false;
    const queue = this.queues.get(request.lane.poolName);
    if (queue?.tray.remove(request) !== true) return false;
    this.forget(queue, request);
    return true;
  };

  readonly forecastMs = (request: GatewayRequest): number => {
    const queue = request.lane === null ? undefined : this.queues.get(request.lane.poolName);
    return queue?.tray.forecastMs(request.tenant?.name ?? '', this.context.ports.clock.now()) ?? 0;
  };

  readonly sweep = (): void => {
    if (this.context.freshness.isFresh()) return;
    for (const queue of this.queues.values()) {
      for (const request of queue.tray.items())
        this.rejector.refuse(
          request,
          'not_fresh',
          'this gateway lost touch with the control nodes while the request waited',
        );
    }
  };

  readonly pumpAll = (): void => {
    const now = this.context.ports.clock.now();
    for (const queue of this.queues.values()) {
      for (const request of queue.tray.hopeless(now, (one) => one.deadlineAt))
        this.rejector.refuse(request, 'no_capacity', 'the wait would pass the horizon');
    }
    for (const poolName of this.queues.keys()) this.pump(poolName);
  };

  private readonly placement = (request: GatewayRequest): Placement | null => {
    const question = this.question(request);
    return question === null ? null : place(this.context.stateView.index, question);
  };

  private readonly question = (request: GatewayRequest): PlaceQuestion | null => {
    const view = this.context.stateView.view();
    const { lane, tenant } = request;
    if (view === null || lane === null || tenant === null) return null;
    const pool = view.pools.get(lane.poolName);
    if (pool === undefined) return null;
    const scope = scopes.of(request);
    const now = this.context.ports.clock.now();
    const ready = this.context.stateView
      .inPool(lane.poolName)
      .filter(
        (record) =>
          !request.avoided.has(record.name) && this.context.stateView.tenantPartitions.mayRun(record, scope, now),
      );
    const sound = ready.filter((record) => !this.context.replicaTracker.isSuspect(record.name));
    const headroom = 1 + urgentHeadroom * view.urgencyOf(tenant.tier.rank);
    const free = this.freeOf(sound.length > 0 ? sound : ready, lane.poolName, pool.slots, headroom);
    return {
      pool,
      blocks: request.blocks,
      promptTokens: request.promptTokens,
      isolatedTenant: scope,
      candidates: free.map((record) => ({
        record,
        running: this.context.replicaTracker.running(record.name),
        pendingTokens: this.context.replicaTracker.pendingTokens(record.name),
      })),
      holders: this.context.stateView
        .holdersIn(lane.poolName, pool.store)
        .filter((record) => this.context.stateView.tenantPartitions.mayName(record, scope)),
      now,
      zone: this.context.settings.zone,
      useIndex: this.context.settings.index,
      tieBreak: this.context.ports.random.fraction(),
      pullExcessMs: this.pulls.excessMs,
    };
  };

  private readonly freeOf = (
    records: readonly ReplicaRecord[],
    poolName: string,
    poolSlots: number,
    headroom: number,
  ): ReplicaRecord[] => {
    const slotsOf = (record: ReplicaRecord): number => Math.floor((record.slots ?? poolSlots) * headroom);
    const free = records.filter((record) => this.context.replicaTracker.running(record.name) < slotsOf(record));
    const [contenders, calmRunning] = this.contention[poolName] ?? [0, 0];
    if (contenders === 0) return free;
    const all = this.context.stateView.inPool(poolName);
    const total = all.reduce((sum, record) => sum + slotsOf(record), 0);
    const own = all.reduce((sum, record) => sum + this.context.replicaTracker.own(record.name), 0);
    if (own >= Math.max(1, Math.ceil((total - calmRunning) / (contenders + 1)))) return [];
    return free.length > 0
      ? free
      : records.filter((record) => this.context.replicaTracker.own(record.name) < slotsOf(record));
  };

  readonly demands = (): PoolDemands =>
    Object.fromEntries(
      [...this.queues].map(([poolName, queue]) => [
        poolName,
        [
          queue.tray.size(),
          this.context.stateView
            .inPool(poolName)
            .reduce((sum, record) => sum + this.context.replicaTracker.own(record.name), 0),
        ] as const,
      ]),
    );

  readonly pump = (poolName: string): void => {
    const queue = this.queueOf(poolName);
    while (
      this.context.freshness.isFresh() &&
      queue.tray.heads().some((request) => this.moveOn(queue, request, poolName))
    );
  };

  private readonly moveOn = (queue: Waiting, request: GatewayRequest, poolName: string): boolean => {
    const placed = this.placement(request);
    if (placed === null) {
      if (this.context.stateView.inPool(poolName).some((record) => !request.avoided.has(record.name))) return false;
      this.rejector.refuse(
        request,
        request.attempts > 0 && request.comeBackSeconds === null ? 'replica_failed' : 'no_capacity',
        'the pool has no ready replica left for this request',
      );
      return true;
    }
    queue.tray.grant(request, this.context.ports.clock.now());
    this.forget(queue, request);
    this.send(request, placed);
    return true;
  };

  readonly why = (laneName: string, tenantName: string, prompt: string): WhyLine[] | null => {
    const view = this.context.stateView.view();
    const lane = view?.lanes.get(laneName);
    const tenant = view?.tenants.get(tenantName);
    if (view === null || lane === undefined || tenant === undefined) return null;
    const order = {
      requestId: 'why',
      key: null,
      path: '/v1/completions' as const,
      body: {},
      deadlineMs: null,
      idempotencyKey: null,
      signal: new AbortController().signal,
    };
    const request = new GatewayRequest(order, this.context.ports.clock.now(), () => {});
    Object.assign(request, { tenant, lane, blocks: prompts.blocks(prompt), promptTokens: prompts.tokens(prompt) });
    const question = this.question(request);
    const weighed = question === null ? [] : weigh(this.context.stateView.index, question);
    const roles = new Map(this.context.stateView.tenantPartitions.roles().map(({ replica, role }) => [replica, role]));
    return this.context.stateView
      .records()
      .filter((record) => record.pool === lane.poolName)
      .map((record) => {
        const found = weighed.find((one) => one.record.name === record.name);
        const kept = this.context.stateView.index.kept(
          record.name,
          request.blocks,
          scopes.of(request),
          this.context.ports.clock.now(),
        );
        return {
          replica: record.name,
          state: record.state,
          tenantPartition: roles.get(record.name) ?? 'none',
          keptTokens: kept.blockCount * prompts.blockTokens,
          mayBeNamed: question?.holders.some((holder) => holder.name === record.name) === true && kept.isNameable,
          running: this.context.replicaTracker.running(record.name),
          holder: found?.holder?.name ?? null,
          prefillTokens: found?.prefilledTokens ?? null,
          costMs: found === undefined ? null : Math.round(found.costMs * 10) / 10,
        };
      })
      .sort((a, b) => (a.costMs ?? Number.POSITIVE_INFINITY) - (b.costMs ?? Number.POSITIVE_INFINITY));
  };

  readonly depths = (): Record<string, { waiting: number; byTier: Record<string, number> }> =>
    Object.fromEntries(
      [...this.queues].map(([poolName, queue]) => [
        poolName,
        { waiting: queue.tray.size(), byTier: Object.fromEntries(queue.byTier) },
      ]),
    );

  readonly renew = (request: GatewayRequest): void => {
    const { lane, tenant } = request;
    if (lane === null || tenant === null) return;
    const isMoved = grants.of(this.context.stateView.view(), request).match(
      (next) =>
        next.lane.poolName !== lane.poolName ||
        next.tenant.tierName !== tenant.tierName ||
        next.tenant.tier.rank !== tenant.tier.rank,
      () => false,
    );
    const isWaiting = isMoved && this.unqueue(request);
    if (this.isStanding(request) && isWaiting) this.queue(request);
  };
}
