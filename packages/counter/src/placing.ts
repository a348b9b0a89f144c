import { prompts } from '@martenworks/core-types';
import type { Contention, PoolDemands, ReplicaRecord } from '@martenworks/core-types';
import { place, weigh } from '@martenworks/prefix-index';
import type { Placement, PlaceQuestion } from '@martenworks/prefix-index';
import type { Bench } from './bench.js';
import type { Denying } from './denying.js';
import { Parcel, scopes } from './parcel.js';
import { Tray } from './pipe.js';
import { standings } from './standing.js';
import { PullTracks } from './tracks.js';

const forecastSafety = 0.5;
const urgentHeadroom = 0.5;

export interface WhyLine {
  readonly replica: string;
  readonly state: string;
  readonly quarter: string;
  readonly keptTokens: number;
  readonly mayBeNamed: boolean;
  readonly running: number;
  readonly holder: string | null;
  readonly prefillTokens: number | null;
  readonly costMs: number | null;
}

interface Waiting {
  readonly tray: Tray<Parcel>;
  readonly byTier: Map<string, number>;
}

export class Placing {
  readonly pulls: PullTracks;
  private readonly queues = new Map<string, Waiting>();
  contention: Contention = {};

  constructor(
    private readonly bench: Bench,
    private readonly denying: Denying,
    private readonly send: (parcel: Parcel, placed: Placement) => void,
  ) {
    this.pulls = new PullTracks(bench.ports.clock);
  }

  private readonly queueOf = (poolName: string): Waiting => {
    const held = this.queues.get(poolName);
    if (held !== undefined) return held;
    const queue: Waiting = { tray: new Tray(this.bench.env.queueLimit), byTier: new Map() };
    this.queues.set(poolName, queue);
    return queue;
  };

  readonly isStanding = (parcel: Parcel): boolean =>
    standings.of(this.bench.book.view(), parcel).match(
      ({ lane, tenant }) => {
        parcel.lane = lane;
        parcel.tenant = tenant;
        parcel.isOnce ||= lane.repeat === 'once';
        return true;
      },
      ([code, detail]) => {
        this.denying.refuse(parcel, code, detail);
        return false;
      },
    );

  readonly queue = (parcel: Parcel): void => {
    if (!this.isStanding(parcel)) return;
    const { lane, tenant } = parcel;
    if (lane === null || tenant === null) return;
    if (this.bench.book.inPool(lane.poolName).length === 0) {
      this.denying.refuse(parcel, 'no_capacity', 'the pool has no ready replica');
      return;
    }
    const queue = this.queueOf(lane.poolName);
    const ofTier = queue.byTier.get(tenant.tierName) ?? 0;
    if (ofTier >= Math.max(1, Math.floor(tenant.tier.share * this.bench.env.queueLimit))) {
      this.denying.refuse(parcel, 'over_share', "the tier's share of the queue is taken");
      return;
    }
    const now = this.bench.ports.clock.now();
    if (queue.tray.forecastMs(tenant.name, now) > (parcel.horizonAt - now) * forecastSafety) {
      this.denying.refuse(parcel, 'no_capacity', 'the wait would pass the horizon');
      return;
    }
    parcel.waits();
    queue.byTier.set(tenant.tierName, ofTier + 1);
    const displaced = queue.tray.put(tenant.name, tenant.tier.rank, parcel, now);
    if (displaced !== null) {
      this.forget(queue, displaced);
      this.denying.refuse(displaced, 'no_capacity', 'the queue is full');
    }
    this.pump(lane.poolName);
  };

  private readonly forget = (queue: Waiting, parcel: Parcel): void => {
    if (parcel.tenant === null) return;
    const { tierName } = parcel.tenant;
    queue.byTier.set(tierName, Math.max(0, (queue.byTier.get(tierName) ?? 0) - 1));
  };

  readonly unqueue = (parcel: Parcel): boolean => {
    if (parcel.lane === null) return false;
    const queue = this.queues.get(parcel.lane.poolName);
    if (queue?.tray.remove(parcel) !== true) return false;
    this.forget(queue, parcel);
    return true;
  };

  readonly forecastMs = (parcel: Parcel): number => {
    const queue = parcel.lane === null ? undefined : this.queues.get(parcel.lane.poolName);
    return queue?.tray.forecastMs(parcel.tenant?.name ?? '', this.bench.ports.clock.now()) ?? 0;
  };

  readonly sweep = (): void => {
    if (this.bench.freshness.isFresh()) return;
    for (const queue of this.queues.values()) {
      for (const parcel of queue.tray.items())
        this.denying.refuse(
          parcel,
          'not_fresh',
          'this counter lost touch with the postmasters while the request waited',
        );
    }
  };

  readonly pumpAll = (): void => {
    const now = this.bench.ports.clock.now();
    for (const queue of this.queues.values()) {
      for (const parcel of queue.tray.hopeless(now, (one) => one.horizonAt))
        this.denying.refuse(parcel, 'no_capacity', 'the wait would pass the horizon');
    }
    for (const poolName of this.queues.keys()) this.pump(poolName);
  };

  private readonly placement = (parcel: Parcel): Placement | null => {
    const question = this.question(parcel);
    return question === null ? null : place(this.bench.book.index, question);
  };

  private readonly question = (parcel: Parcel): PlaceQuestion | null => {
    const view = this.bench.book.view();
    const { lane, tenant } = parcel;
    if (view === null || lane === null || tenant === null) return null;
    const pool = view.pools.get(lane.poolName);
    if (pool === undefined) return null;
    const scope = scopes.of(parcel);
    const now = this.bench.ports.clock.now();
    const ready = this.bench.book
      .inPool(lane.poolName)
      .filter((record) => !parcel.avoided.has(record.name) && this.bench.book.quarters.mayRun(record, scope, now));
    const sound = ready.filter((record) => !this.bench.tracks.isSuspect(record.name));
    const headroom = 1 + urgentHeadroom * view.urgencyOf(tenant.tier.rank);
    const free = this.freeOf(sound.length > 0 ? sound : ready, lane.poolName, pool.slots, headroom);
    return {
      pool,
      blocks: parcel.blocks,
      promptTokens: parcel.promptTokens,
      isolatedTenant: scope,
      candidates: free.map((record) => ({
        record,
        running: this.bench.tracks.running(record.name),
        pendingTokens: this.bench.tracks.pendingTokens(record.name),
      })),
      holders: this.bench.book
        .holdersIn(lane.poolName, pool.store)
        .filter((record) => this.bench.book.quarters.mayName(record, scope)),
      now,
      zone: this.bench.env.zone,
      useIndex: this.bench.env.index,
      tieBreak: this.bench.ports.random.fraction(),
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
    const free = records.filter((record) => this.bench.tracks.running(record.name) < slotsOf(record));
    const [contenders, calmRunning] = this.contention[poolName] ?? [0, 0];
    if (contenders === 0) return free;
    const all = this.bench.book.inPool(poolName);
    const total = all.reduce((sum, record) => sum + slotsOf(record), 0);
    const own = all.reduce((sum, record) => sum + this.bench.tracks.own(record.name), 0);
    if (own >= Math.max(1, Math.ceil((total - calmRunning) / (contenders + 1)))) return [];
    return free.length > 0 ? free : records.filter((record) => this.bench.tracks.own(record.name) < slotsOf(record));
  };

  readonly demands = (): PoolDemands =>
    Object.fromEntries(
      [...this.queues].map(([poolName, queue]) => [
        poolName,
        [
          queue.tray.size(),
          this.bench.book.inPool(poolName).reduce((sum, record) => sum + this.bench.tracks.own(record.name), 0),
        ] as const,
      ]),
    );

  readonly pump = (poolName: string): void => {
    const queue = this.queueOf(poolName);
    while (this.bench.freshness.isFresh() && queue.tray.heads().some((parcel) => this.moveOn(queue, parcel, poolName)));
  };

  private readonly moveOn = (queue: Waiting, parcel: Parcel, poolName: string): boolean => {
    const placed = this.placement(parcel);
    if (placed === null) {
      if (this.bench.book.inPool(poolName).some((record) => !parcel.avoided.has(record.name))) return false;
      this.denying.refuse(
        parcel,
        parcel.shots > 0 && parcel.comeBackSeconds === null ? 'replica_failed' : 'no_capacity',
        'the pool has no ready replica left for this request',
      );
      return true;
    }
    queue.tray.grant(parcel, this.bench.ports.clock.now());
    this.forget(queue, parcel);
    this.send(parcel, placed);
    return true;
  };

  readonly why = (laneName: string, tenantName: string, prompt: string): WhyLine[] | null => {
    const view = this.bench.book.view();
    const lane = view?.lanes.get(laneName);
    const tenant = view?.tenants.get(tenantName);
    if (view === null || lane === undefined || tenant === undefined) return null;
    const order = {
      requestId: 'why',
      key: null,
      path: '/v1/completions' as const,
      body: {},
      horizonMs: null,
      idempotencyKey: null,
      signal: new AbortController().signal,
    };
    const parcel = new Parcel(order, this.bench.ports.clock.now(), () => {});
    Object.assign(parcel, { tenant, lane, blocks: prompts.blocks(prompt), promptTokens: prompts.tokens(prompt) });
    const question = this.question(parcel);
    const weighed = question === null ? [] : weigh(this.bench.book.index, question);
    const roles = new Map(this.bench.book.quarters.roles().map(({ replica, role }) => [replica, role]));
    return this.bench.book
      .records()
      .filter((record) => record.pool === lane.poolName)
      .map((record) => {
        const found = weighed.find((one) => one.record.name === record.name);
        const kept = this.bench.book.index.kept(
          record.name,
          parcel.blocks,
          scopes.of(parcel),
          this.bench.ports.clock.now(),
        );
        return {
          replica: record.name,
          state: record.state,
          quarter: roles.get(record.name) ?? 'none',
          keptTokens: kept.blockCount * prompts.blockTokens,
          mayBeNamed: question?.holders.some((holder) => holder.name === record.name) === true && kept.isNameable,
          running: this.bench.tracks.running(record.name),
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

  readonly renew = (parcel: Parcel): void => {
    const { lane, tenant } = parcel;
    if (lane === null || tenant === null) return;
    const isMoved = standings.of(this.bench.book.view(), parcel).match(
      (next) =>
        next.lane.poolName !== lane.poolName ||
        next.tenant.tierName !== tenant.tierName ||
        next.tenant.tier.rank !== tenant.tier.rank,
      () => false,
    );
    const isWaiting = isMoved && this.unqueue(parcel);
    if (this.isStanding(parcel) && isWaiting) this.queue(parcel);
  };
}
